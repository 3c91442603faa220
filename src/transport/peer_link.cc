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
/// The largest message accepted from a peer that is not authenticated yet.
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
  link->StartHandshakeTimeout();
  return link;
}

std::shared_ptr<peer_link> peer_link::Connect(options settings, const std::string& address) {
  client_handshake initial(settings.keys, settings.identity);
  std::shared_ptr<peer_link> link(new peer_link(std::move(settings), std::move(initial)));
  link->remote_ = address;
  link->session_ = std::make_unique<http2_session>(link->settings_.loop, address,
                                                   static_cast<http2_listener&>(*link));
  link->StartHandshakeTimeout();
  return link;
}

void peer_link::StartHandshakeTimeout() {
  handshake_timeout_ = settings_.timers.After(settings_.handshake_timeout,
                                              [this](instant) { End("handshake timed out"); });
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
    End("peer reads too slowly: send queue full");
  }
}

stream_id peer_link::StreamFor(const message& value) {
  const auto request = RequestOf(value);
  if (!request.has_value()) {
    return control_;
  }
  const auto found = stream_by_request_.find(*request);
  if (found != stream_by_request_.end()) {
    return found->second;
  }
  if (is_server()) {
    return control_;
  }
  const stream_id stream =
      session_->Open({.path = std::string(kRequestPath), .request = ToString(*request)}, false);
  streams_[stream].request = *request;
  stream_by_request_[*request] = stream;
  return stream;
}

void peer_link::Finish(request_id request) {
  const auto found = stream_by_request_.find(request);
  if (state_ != link_state::kUp || found == stream_by_request_.end()) {
    return;
  }
  const stream_id stream = found->second;
  EndRequestStream(streams_[stream], stream);
}

/// Ends the local side of a request's stream; later messages of the request use another stream.
void peer_link::EndRequestStream(stream_state& stream, stream_id id) {
  if (std::exchange(stream.finished, true)) {
    return;
  }
  stream_by_request_.erase(*stream.request);
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
  stream_by_request_[request] = stream;
}

bool peer_link::OnStreamData(stream_id stream, std::span<const std::uint8_t> bytes) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return state_ != link_state::kEnding;
  }
  envelope_reader& reader = found->second.reader;
  while (state_ != link_state::kEnding) {
    // The limit increases when the handshake completes within this loop.
    const std::size_t limit =
        state_ == link_state::kHandshake ? kMaxHandshakeBytes : kMaxEnvelopeBytes;
    switch (reader.Next(bytes, limit)) {
      case envelope_reader::outcome::kMoreBytes:
        return true;
      case envelope_reader::outcome::kEnvelope:
        HandleEnvelope(stream, reader.envelope());
        break;
      case envelope_reader::outcome::kTooLarge:
        Reject("message exceeds the limit of " + std::to_string(limit) + " bytes");
        break;
    }
  }
  return false;
}

void peer_link::HandleEnvelope(stream_id stream, std::span<const std::uint8_t> envelope) {
  std::optional<message> received = Decode(envelope);
  if (!received.has_value()) {
    Reject("message failed verification");
  } else if (state_ == link_state::kHandshake) {
    HandleHandshakeMessage(*received);
  } else {
    HandleMessage(stream, *std::move(received));
  }
}

void peer_link::HandleHandshakeMessage(const message& received) {
  handshake_step step = std::visit([&](auto& side) { return side.Receive(received); }, handshake_);
  std::visit(
      [this](auto& next) {
        using step_type = std::remove_cvref_t<decltype(next)>;
        if constexpr (std::is_same_v<step_type, handshake_reply>) {
          Write(control_, next.reply);
        } else if constexpr (std::is_same_v<step_type, handshake_done>) {
          CompleteHandshake(std::move(next));
        } else {
          Reject("handshake: " + next.reason);
        }
      },
      step);
}

void peer_link::CompleteHandshake(handshake_done done) {
  handshake_timeout_.Cancel();
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

void peer_link::HandleMessage(stream_id stream, message received) {
  const auto& owner = streams_[stream].request;
  if (IsHandshakeMessage(received)) {
    Reject("handshake message after the handshake");
    return;
  }
  if (owner.has_value() && RequestOf(received) != owner) {
    Reject("message of type " + std::string(NameOf(received)) + " on another request's stream");
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
    Reject("stream ended within a message");
  } else if (stream == control_) {
    End("peer ended the control stream");
  } else if (is_server()) {
    // The client has finished the request, so the server side of the stream must be ended here.
    EndRequestStream(found->second, stream);
  }
}

void peer_link::OnStreamClosed(stream_id stream) {
  const auto found = streams_.find(stream);
  if (state_ == link_state::kEnding || found == streams_.end()) {
    return;
  }
  if (stream == control_) {
    End("control stream closed");
    return;
  }
  const auto entry = stream_by_request_.find(*found->second.request);
  if (entry != stream_by_request_.end() && entry->second == stream) {
    stream_by_request_.erase(entry);
  }
  streams_.erase(found);
}

void peer_link::OnSessionFailed(const std::string& reason) { End(reason); }

/// Logs a protocol violation by the peer and closes the link.
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
  handshake_timeout_.Cancel();
  // Messages sent before the end are still written, as far as the kernel accepts them.
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
