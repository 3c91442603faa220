#ifndef JACINTHSPOOL_TRANSPORT_HTTP2_SESSION_H_
#define JACINTHSPOOL_TRANSPORT_HTTP2_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/transport/event_loop.h"
#include "src/transport/tcp_stream.h"

struct nghttp2_session;

namespace jacinthspool {

/// \brief HTTP/2 stream identifier within its connection.
using stream_id = std::int32_t;

/// \brief Fields of the HEADERS frame that opens a stream.
struct stream_opening {
  std::string path;
  std::string request;  ///< Value of `x-request-id`; empty when absent.
};

/// \brief Receives the events of an HTTP/2 session.
class http2_listener {
 public:
  virtual ~http2_listener() = default;
  virtual void OnSessionUp() = 0;
  /// \brief The client opened a stream; called on servers only.
  virtual void OnStreamOpen(stream_id stream, const stream_opening& opening) = 0;
  /// \returns false to stop reading from this connection.
  virtual bool OnStreamData(stream_id stream, std::span<const std::uint8_t> bytes) = 0;
  /// \brief The peer has ended its side of the stream.
  virtual void OnStreamEnd(stream_id stream) = 0;
  virtual void OnStreamClosed(stream_id stream) = 0;
  virtual void OnSessionFailed(const std::string& reason) = 0;
};

/// \brief HTTP/2 with prior knowledge on one TCP connection.
///
/// Writes of one loop iteration are flushed together. The session must not be
/// destroyed inside a call to its listener.
class http2_session : private tcp_listener {
 public:
  /// \brief Creates the server side on an accepted socket.
  http2_session(event_loop& loop, int socket, http2_listener& listener);

  /// \brief Creates the client side and connects to `address` (IP:PORT).
  http2_session(event_loop& loop, const std::string& address, http2_listener& listener);

  ~http2_session() override;
  http2_session(const http2_session&) = delete;
  http2_session& operator=(const http2_session&) = delete;

  /// \brief Opens a stream; clients only.
  /// \param urgent Gives the stream the highest HTTP/2 weight.
  /// \returns The stream, or a negative nghttp2 error code, after which the session has failed.
  stream_id Open(const stream_opening& opening, bool urgent);

  /// \brief Queues bytes for sending; ignored on a stream that has ended.
  void Write(stream_id stream, std::string_view bytes);

  /// \brief Ends the local side of the stream once its queue has been sent.
  void End(stream_id stream);

  /// \brief Sends queued frames; called automatically in the loop iteration after each write.
  void Flush();

  /// \returns Bytes queued and not yet passed to the kernel.
  [[nodiscard]] std::size_t queued_bytes() const { return queued_ + tcp_.queued_bytes(); }

 private:
  struct outgoing_stream {
    stream_opening opening = {};
    std::string queue = {};
    std::size_t sent = 0;  ///< Bytes at the front of the queue that have been framed.
    bool waiting = false;  ///< nghttp2 has deferred the stream until it is resumed.
    bool ended = false;
  };
  struct callbacks;

  void Start();
  void ScheduleFlush();
  /// \returns true when the output queue is full and more frames may be pending.
  bool MakeFrames();
  void Fail(const std::string& reason);
  void Respond(stream_id stream);

  void OnConnected() override;
  void OnBytes(std::span<const std::uint8_t> bytes) override;
  void OnReadEnd() override;
  void OnDrained() override;
  void OnFailed(const std::string& reason) override;

  event_loop& loop_;
  http2_listener& listener_;
  bool is_server_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<stream_id, outgoing_stream> streams_;
  std::size_t queued_ = 0;
  bool failed_ = false;
  bool flush_scheduled_ = false;
  std::shared_ptr<http2_session*> self_;  ///< Holds null once the session is destroyed.
  tcp_stream tcp_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP2_SESSION_H_
