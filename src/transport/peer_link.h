#ifndef JACINTHSPOOL_TRANSPORT_PEER_LINK_H_
#define JACINTHSPOOL_TRANSPORT_PEER_LINK_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "src/transport/envelope_stream.h"
#include "src/transport/handshake.h"
#include "src/transport/http2_session.h"
#include "src/transport/peer.h"

namespace jacinthspool {

/// \brief A connection between two processes, including its handshake.
///
/// A link closes asynchronously: its handlers are notified and its socket is
/// closed in a later loop iteration, so that handlers may call Close or Abandon
/// at any time.
class peer_link : public peer_connection,
                  public std::enable_shared_from_this<peer_link>,
                  private http2_listener {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    key_ring& keys;
    peer_identity identity;
    std::shared_ptr<const peer_handlers> handlers;
    std::size_t max_queued_bytes;
    microseconds handshake_timeout;
    /// The link has ended; `was_up` is true when the handshake had succeeded.
    std::function<void(peer_link&, bool was_up, const std::string& reason)> on_ended;
  };

  /// \brief Creates the server side on the accepted `socket`.
  static std::shared_ptr<peer_link> Accept(options settings, int socket);

  /// \brief Creates the client side and connects to `address` (IP:PORT).
  static std::shared_ptr<peer_link> Connect(options settings, const std::string& address);

  void Send(const message& value) override;
  void Finish(request_id request) override;
  void Close(const std::string& reason) override;
  [[nodiscard]] const peer_identity& peer() const override { return peer_; }

  /// \brief Closes the link without calling any handler.
  void Abandon();

  [[nodiscard]] bool is_up() const { return state_ == link_state::kUp; }

 private:
  enum class link_state { kHandshake, kUp, kEnding };
  /// Local state of an open stream.
  struct stream_state {
    std::optional<request_id> request;  ///< None on the control stream.
    envelope_reader reader;
    bool finished = false;  ///< The local side has ended.
  };
  using handshake = std::variant<server_handshake, client_handshake>;

  peer_link(options settings, handshake initial);

  void OnSessionUp() override;
  void OnStreamOpen(stream_id stream, const stream_opening& opening) override;
  bool OnStreamData(stream_id stream, std::span<const std::uint8_t> bytes) override;
  void OnStreamEnd(stream_id stream) override;
  void OnStreamClosed(stream_id stream) override;
  void OnSessionFailed(const std::string& reason) override;

  [[nodiscard]] bool is_server() const {
    return std::holds_alternative<server_handshake>(handshake_);
  }
  void StartHandshakeTimeout();
  void HandleEnvelope(stream_id stream, std::span<const std::uint8_t> envelope);
  void HandleHandshakeMessage(const message& received);
  void HandleMessage(stream_id stream, message received);
  void CompleteHandshake(handshake_done done);
  stream_id StreamFor(const message& value);
  void Write(stream_id stream, const message& value);
  void EndRequestStream(stream_state& stream, stream_id id);
  void Reject(const std::string& finding);
  void End(const std::string& reason);
  void Finalize(const std::string& reason);

  options settings_;
  handshake handshake_;
  link_state state_ = link_state::kHandshake;
  bool was_up_ = false;
  bool abandoned_ = false;
  peer_identity peer_;
  std::string remote_;  ///< Address of the peer, for logs.
  timer_subscription handshake_timeout_;
  stream_id control_ = 0;
  std::unordered_map<stream_id, stream_state> streams_;
  std::unordered_map<request_id, stream_id> stream_by_request_;
  std::unique_ptr<http2_session> session_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_PEER_LINK_H_
