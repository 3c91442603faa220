#ifndef JACINTHSPOOL_TRANSPORT_HANDSHAKE_H_
#define JACINTHSPOOL_TRANSPORT_HANDSHAKE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jacinthspool/impl/messages.h"
#include "src/transport/key_ring.h"
#include "src/transport/peer.h"

namespace jacinthspool {

/// \brief Next message to send; the peer is not authenticated yet.
struct handshake_reply {
  message reply;
};

/// \brief The peer is authenticated; `reply` is sent to it if present.
struct handshake_done {
  peer_identity peer;
  std::optional<message> reply = {};
};

/// \brief The handshake failed; the connection must be closed.
struct handshake_fault {
  std::string reason;
};

using handshake_step = std::variant<handshake_reply, handshake_done, handshake_fault>;

/// \brief Data covered by both proofs: both identities and both nonces.
struct handshake_transcript {
  peer_identity server;
  peer_identity client;
  std::vector<std::uint8_t> server_nonce;
  std::vector<std::uint8_t> client_nonce;
};

/// \brief Server side: sends `hello`, expects `hello`, ends with `hello_accepted`.
class server_handshake {
 public:
  server_handshake(const key_ring& keys, const peer_identity& self);

  /// \returns The `hello` that the server sends first.
  [[nodiscard]] message Begin() const;

  [[nodiscard]] handshake_step Receive(const message& received);

 private:
  const key_ring& keys_;
  handshake_transcript transcript_;
};

/// \brief Client side: expects `hello`, replies with `hello`, expects `hello_accepted`.
class client_handshake {
 public:
  client_handshake(const key_ring& keys, const peer_identity& self);

  [[nodiscard]] handshake_step Receive(const message& received);

 private:
  [[nodiscard]] handshake_step Answer(const hello& received);
  [[nodiscard]] handshake_step Check(const hello_accepted& received) const;

  const key_ring& keys_;
  handshake_transcript transcript_;
  bool answered_ = false;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HANDSHAKE_H_
