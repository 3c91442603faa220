#include "src/transport/handshake.h"

#include <sodium.h>

#include <span>
#include <string_view>

namespace jacinthspool {
namespace {

constexpr std::size_t kNonceBytes = 32;
constexpr std::uint32_t kProtocol = 1;
// Different labels prevent one side's proof from being reflected as the other's.
constexpr std::string_view kClientProofLabel = "jacinthspool peer handshake 1, client";
constexpr std::string_view kServerProofLabel = "jacinthspool peer handshake 1, server";

std::vector<std::uint8_t> NewNonce() {
  std::vector<std::uint8_t> nonce(kNonceBytes);
  randombytes_buf(nonce.data(), nonce.size());
  return nonce;
}

/// Builds the input of a proof; each variable-length field is preceded by its length.
class proof_input {
 public:
  void Add(std::uint64_t number) {
    constexpr unsigned kByteBits = 8;
    for (unsigned index = 0; index < sizeof(number); ++index) {
      bytes_.push_back(static_cast<std::uint8_t>(number >> (kByteBits * index)));
    }
  }
  void Add(std::string_view text) {
    Add(std::uint64_t{text.size()});
    bytes_.insert(bytes_.end(), text.begin(), text.end());
  }
  void Add(std::span<const std::uint8_t> field) {
    Add(std::uint64_t{field.size()});
    bytes_.insert(bytes_.end(), field.begin(), field.end());
  }
  void Add(const peer_identity& identity) {
    Add(identity.role);
    Add(identity.name);
    Add(identity.data_centre);
    Add(identity.incarnation);
  }
  [[nodiscard]] const std::vector<std::uint8_t>& bytes() const { return bytes_; }

 private:
  std::vector<std::uint8_t> bytes_;
};

std::vector<std::uint8_t> ProofInput(std::string_view label,
                                     const handshake_transcript& transcript) {
  proof_input input;
  input.Add(label);
  input.Add(std::span(transcript.server_nonce));
  input.Add(std::span(transcript.client_nonce));
  input.Add(transcript.server);
  input.Add(transcript.client);
  return input.bytes();
}

hello HelloOf(const peer_identity& identity, const std::vector<std::uint8_t>& nonce) {
  hello value;
  value.role = identity.role;
  value.name = identity.name;
  value.data_centre = identity.data_centre;
  value.incarnation = identity.incarnation;
  value.nonce = nonce;
  value.protocol = kProtocol;
  return value;
}

peer_identity IdentityOf(const hello& value) {
  return {.role = value.role,
          .name = value.name,
          .data_centre = value.data_centre,
          .incarnation = value.incarnation};
}

/// \returns The fault if `value` is missing or malformed; otherwise nothing.
std::optional<handshake_fault> FaultOf(const hello* value, std::string_view expected) {
  if (value == nullptr) {
    return handshake_fault{"expected " + std::string(expected)};
  }
  if (value->protocol != kProtocol) {
    return handshake_fault{"unknown protocol version " + std::to_string(value->protocol)};
  }
  if (value->nonce.size() != kNonceBytes) {
    return handshake_fault{"invalid nonce length: " + std::to_string(value->nonce.size()) +
                           " bytes"};
  }
  return std::nullopt;
}

}  // namespace

server_handshake::server_handshake(const key_ring& keys, const peer_identity& self)
    : keys_(keys),
      transcript_{.server = self, .client = {}, .server_nonce = NewNonce(), .client_nonce = {}} {}

message server_handshake::Begin() const {
  return HelloOf(transcript_.server, transcript_.server_nonce);
}

handshake_step server_handshake::Receive(const message& received) {
  const auto* answer = std::get_if<hello>(&received);
  if (auto fault = FaultOf(answer, "hello")) {
    return *fault;
  }
  transcript_.client = IdentityOf(*answer);
  transcript_.client_nonce = answer->nonce;
  if (!keys_.Verify(ProofInput(kClientProofLabel, transcript_), answer->proof)) {
    return handshake_fault{"the client's proof does not verify"};
  }
  hello_accepted accepted;
  accepted.incarnation = transcript_.server.incarnation;
  accepted.proof = keys_.Sign(ProofInput(kServerProofLabel, transcript_));
  return handshake_done{.peer = transcript_.client, .reply = std::move(accepted)};
}

client_handshake::client_handshake(const key_ring& keys, const peer_identity& self)
    : keys_(keys),
      transcript_{.server = {}, .client = self, .server_nonce = {}, .client_nonce = NewNonce()} {}

handshake_step client_handshake::Receive(const message& received) {
  if (!answered_) {
    const auto* greeting = std::get_if<hello>(&received);
    if (auto fault = FaultOf(greeting, "hello")) {
      return *fault;
    }
    return Answer(*greeting);
  }
  const auto* accepted = std::get_if<hello_accepted>(&received);
  if (accepted == nullptr) {
    return handshake_fault{"expected hello_accepted"};
  }
  return Check(*accepted);
}

handshake_step client_handshake::Answer(const hello& received) {
  answered_ = true;
  transcript_.server = IdentityOf(received);
  transcript_.server_nonce = received.nonce;
  hello answer = HelloOf(transcript_.client, transcript_.client_nonce);
  answer.proof = keys_.Sign(ProofInput(kClientProofLabel, transcript_));
  return handshake_reply{std::move(answer)};
}

handshake_step client_handshake::Check(const hello_accepted& received) const {
  if (received.incarnation != transcript_.server.incarnation) {
    return handshake_fault{"incarnation in hello_accepted differs from the one in hello"};
  }
  if (!keys_.Verify(ProofInput(kServerProofLabel, transcript_), received.proof)) {
    return handshake_fault{"the server's proof does not verify"};
  }
  return handshake_done{.peer = transcript_.server};
}

}  // namespace jacinthspool
