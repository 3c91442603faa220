#include "src/transport/peer_link.h"

#include <type_traits>
#include <utility>
#include <vector>

#include "src/telemetry/log.h"
#include "src/transport/socket_address.h"

namespace jacinthspool {
namespace {

constexpr std::string_view kControlPath = "/jacinthspool/v1/control";
constexpr std::string_view kRequestPath = "/jacinthspool/v1/request";
/// The largest message from a peer that has not proved itself.
constexpr std::size_t kMaxHandshakeBytes = 16U << 10U;

bool IsHandshakeMessage(const message& value) {
  return std::holds_alternative<hello>(value) || std::holds_alternative<hello_accepted>(value);
}

}  // namespace

peer_link::peer_link(options settings, handshake initial)
    : settings_(std::move(settings)), handshake_(std::move(initial)) {}

std::shared_ptr<peer_link> peer_link::Accept(options settings, int socket) {
  server_handshake initial(settings.keys, settings.identity);
  std::shared_ptr<peer_link> link(new peer_link(std::move(settings), std::move(initial)));
  link->remote_ = RemoteAddress(socket);
  link->session_ = std::make_unique<http2_session>(link->settings_.loop, socket,
                                                   static_cast<http2_listener&>(*link));
  link->StartTimeout();
  return link;
}

std::shared_ptr<peer_link> peer_link::Connect(options settings, const std::string& address) {
  client_handshake initial(settings.keys, settings.identity);
  std::shared_ptr<peer_link> link(new peer_link(std::move(settings), std::move(initial)));
  link->remote_ = address;
  link->session_ = std::make_unique<http2_session>(link->settings_.loop, address,
                                                   static_cast<http2_listener&>(*link));
  link->StartTimeout();
  return link;
}

void peer_link::StartTimeout() {
  timeout_ = settings_.timers.After(settings_.handshake_timeout,
                                    [this](instant) { End("no handshake in time"); });
}

void peer_link::Send(const message& value) {
  if (state_ != link_state::kUp) {
    return;
  }
  Write(StreamFor(value), value);
}

void peer_link::Write(stream_id stream, const message& value) {
  const std::vector<std::uint8_t> envelope = Encode(value);
  const auto prefix = EnvelopePrefix(envelope.size());
  session_->Write(stream, std::string_view(prefix.data(), prefix.size()));
  session_->Write(
      stream, std::string_view(reinterpret_cast<const char*>(envelope.data()), envelope.size()));
  if (session_->queued_bytes() > settings_.max_queued_bytes) {
    End("the other side takes too little: queue full");
  }
}

stream_id peer_link::StreamFor(const message& value) {
  const auto request = RequestOf(value);
  if (!request.has_value()) {
    return control_;
  }
  const auto found = stream_of_.find(*request);
  if (found != stream_of_.end()) {
    return found->second;
  }
  if (is_server()) {
    return control_;
  }
  const stream_id stream =
      session_->Open({.path = std::string(kRequestPath), .request = ToString(*request)}, false);
  streams_[stream].request = *request;
  stream_of_[*request] = stream;
  return stream;
}

void peer_link::Finish(request_id request) {
  const auto found = stream_of_.find(request);
  if (state_ != link_state::kUp || found == stream_of_.end()) {
    return;
  }
  const stream_id stream = found->second;
  ForgetRequest(streams_[stream], stream);
}

/// Ends our side of a request's stream; what follows for it takes another way.
void peer_link::ForgetRequest(stream_state& stream, stream_id id) {
  if (std::exchange(stream.finished, true)) {
    return;
  }
  stream_of_.erase(*stream.request);
  session_->End(id);
}

void peer_link::Close(const std::string& reason) { End(reason); }

void peer_link::Abandon() {
  abandoned_ = true;
  End("abandoned");
}

void peer_link::OnSessionUp() {
  control_ = session_->Open({.path = std::string(kControlPath), .request = {}}, true);
  streams_.try_emplace(control_);
}

void peer_link::OnStreamOpen(stream_id stream, const stream_opening& opening) {
  if (state_ == link_state::kEnding) {
    return;
  }
  if (opening.path == kControlPath && control_ == 0) {
    control_ = stream;
    streams_.try_emplace(stream);
    Write(stream, std::get<server_handshake>(handshake_).Begin());
    return;
  }
  request_id request;
  const bool is_request = opening.path == kRequestPath && ParseRequestId(opening.request, request);
  if (state_ != link_state::kUp || !is_request) {
    Reject("unexpected stream " + opening.path + " for request '" + opening.request + "'");
    return;
  }
  streams_[stream].request = request;
  stream_of_[request] = stream;
}

bool peer_link::OnStreamData(stream_id stream, std::span<const std::uint8_t> bytes) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return state_ != link_state::kEnding;
  }
  envelope_reader& reader = found->second.reader;
  while (state_ != link_state::kEnding) {
    // The limit grows as soon as the handshake is done.
    const std::size_t limit =
        state_ == link_state::kHandshake ? kMaxHandshakeBytes : kMaxEnvelopeBytes;
    switch (reader.Next(bytes, limit)) {
      case envelope_reader::outcome::kMoreBytes:
        return true;
      case envelope_reader::outcome::kEnvelope:
        TakeEnvelope(stream, reader.envelope());
        break;
      case envelope_reader::outcome::kTooLarge:
        Reject("a message over the limit of " + std::to_string(limit) + " bytes");
        break;
    }
  }
  return false;
}

void peer_link::TakeEnvelope(stream_id stream, std::span<const std::uint8_t> envelope) {
  std::optional<message> received = Decode(envelope);
  if (!received.has_value()) {
    Reject("a message that does not verify");
  } else if (state_ == link_state::kHandshake) {
    TakeHandshakeMessage(*received);
  } else {
    TakeMessage(stream, *std::move(received));
  }
}

void peer_link::TakeHandshakeMessage(const message& received) {
  handshake_step step = std::visit([&](auto& side) { return side.Receive(received); }, handshake_);
  std::visit(
      [this](auto& next) {
        using step_type = std::remove_cvref_t<decltype(next)>;
        if constexpr (std::is_same_v<step_type, handshake_reply>) {
          Write(control_, next.reply);
        } else if constexpr (std::is_same_v<step_type, handshake_done>) {
          BecomeUp(std::move(next));
        } else {
          Reject("handshake: " + next.reason);
        }
      },
      step);
}

void peer_link::BecomeUp(handshake_done done) {
  timeout_.Cancel();
  peer_ = std::move(done.peer);
  if (done.reply.has_value()) {
    Write(control_, *done.reply);
  }
  if (state_ != link_state::kHandshake) {
    return;
  }
  state_ = link_state::kUp;
  was_up_ = true;
  const auto handlers = settings_.handlers;
  if (handlers->on_up != nullptr) {
    handlers->on_up(*this);
  }
}

void peer_link::TakeMessage(stream_id stream, message received) {
  const auto& owner = streams_[stream].request;
  if (IsHandshakeMessage(received)) {
    Reject("a second handshake");
    return;
  }
  if (owner.has_value() && RequestOf(received) != owner) {
    Reject("a message of type " + std::string(NameOf(received)) + " on another request's stream");
    return;
  }
  const auto handlers = settings_.handlers;
  if (handlers->on_message != nullptr) {
    handlers->on_message(*this, std::move(received));
  }
}

void peer_link::OnStreamEnd(stream_id stream) {
  const auto found = streams_.find(stream);
  if (state_ == link_state::kEnding || found == streams_.end()) {
    return;
  }
  if (!found->second.reader.at_boundary()) {
    Reject("a stream that ends within a message");
  } else if (stream == control_) {
    End("the other side ended the control stream");
  } else if (is_server()) {
    // The client is done with the request, so nobody else would end our side.
    ForgetRequest(found->second, stream);
  }
}

void peer_link::OnStreamClosed(stream_id stream) {
  const auto found = streams_.find(stream);
  if (state_ == link_state::kEnding || found == streams_.end()) {
    return;
  }
  if (stream == control_) {
    End("the control stream closed");
    return;
  }
  const auto entry = stream_of_.find(*found->second.request);
  if (entry != stream_of_.end() && entry->second == stream) {
    stream_of_.erase(entry);
  }
  streams_.erase(found);
}

void peer_link::OnSessionFailed(const std::string& reason) { End(reason); }

/// The other side broke the protocol.
void peer_link::Reject(const std::string& finding) {
  if (state_ != link_state::kEnding) {
    Log(log_level::kWarning, "peer_rejected",
        {{"remote", remote_}, {"peer", peer_.name}, {"finding", finding}});
    End(finding);
  }
}

void peer_link::End(const std::string& reason) {
  if (std::exchange(state_, link_state::kEnding) == link_state::kEnding) {
    return;
  }
  settings_.loop.Post([self = shared_from_this(), reason] { self->Finalize(reason); });
}

void peer_link::Finalize(const std::string& reason) {
  timeout_.Cancel();
  // What was sent before the end still goes out, as far as the kernel takes it.
  session_->Flush();
  session_.reset();
  if (abandoned_) {
    return;
  }
  const auto handlers = settings_.handlers;
  if (was_up_ && handlers->on_down != nullptr) {
    handlers->on_down(*this, reason);
  }
  if (!abandoned_) {
    settings_.on_ended(*this, was_up_, reason);
  }
}

}  // namespace jacinthspool
