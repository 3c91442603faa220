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

/// \brief Number of a stream within its connection.
using stream_id = std::int32_t;

/// \brief What the first frame of a stream says.
struct stream_opening {
  std::string path;
  std::string request;  ///< The header with the request id; empty when absent.
};

/// \brief What the owner of an HTTP/2 session is told.
class http2_listener {
 public:
  virtual ~http2_listener() = default;
  virtual void OnSessionUp() = 0;
  /// \brief The client opened a stream; told to servers only.
  virtual void OnStreamOpen(stream_id stream, const stream_opening& opening) = 0;
  /// \returns false to read no more from this connection.
  virtual bool OnStreamData(stream_id stream, std::span<const std::uint8_t> bytes) = 0;
  /// \brief The other side sends no more on this stream.
  virtual void OnStreamEnd(stream_id stream) = 0;
  virtual void OnStreamClosed(stream_id stream) = 0;
  virtual void OnSessionFailed(const std::string& reason) = 0;
};

/// \brief HTTP/2 with prior knowledge on one TCP connection.
///
/// What is written in one turn of the loop goes out together. It may not be
/// destroyed inside a call to its listener.
class http2_session : private tcp_listener {
 public:
  /// \brief The server's side of an accepted socket.
  http2_session(event_loop& loop, int socket, http2_listener& listener);

  /// \brief The client's side: connects to `address`.
  http2_session(event_loop& loop, const std::string& address, http2_listener& listener);

  ~http2_session() override;
  http2_session(const http2_session&) = delete;
  http2_session& operator=(const http2_session&) = delete;

  /// \brief Opens a stream as client.
  stream_id Open(const stream_opening& opening, bool urgent);

  /// \brief Queues bytes; a stream that has ended takes none.
  void Write(stream_id stream, std::string_view bytes);

  /// \brief Ends our side once its queue is empty.
  void End(stream_id stream);

  /// \brief Sends what waits; called by itself in the next turn after each write.
  void Flush();

  /// \returns Bytes taken over and not yet given to the kernel.
  [[nodiscard]] std::size_t queued_bytes() const { return queued_ + tcp_.queued_bytes(); }

 private:
  struct outgoing_stream {
    stream_opening opening = {};
    std::string queue = {};
    std::size_t sent = 0;  ///< Bytes at the head of the queue that are gone.
    bool waiting = false;  ///< nghttp2 asks for more only after it is resumed.
    bool ended = false;
  };
  struct callbacks;

  void Start();
  void ScheduleFlush();
  /// \returns true when there may be more frames than the queue has room for.
  bool MakeFrames();
  void Fail(const std::string& reason);
  void Respond(stream_id stream);

  void OnConnected() override;
  void OnBytes(std::span<const std::uint8_t> bytes) override;
  void OnReadEnd() override;
  void OnDrained() override;
  void OnBroken(const std::string& reason) override;

  event_loop& loop_;
  http2_listener& listener_;
  bool is_server_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<stream_id, outgoing_stream> streams_;
  std::size_t queued_ = 0;
  bool failed_ = false;
  bool flush_scheduled_ = false;
  std::shared_ptr<http2_session*> self_;  ///< Empties when the session is destroyed.
  tcp_stream tcp_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP2_SESSION_H_
