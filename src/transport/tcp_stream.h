#ifndef JACINTHSPOOL_TRANSPORT_TCP_STREAM_H_
#define JACINTHSPOOL_TRANSPORT_TCP_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "jacinthspool/impl/time.h"
#include "src/transport/event_loop.h"

namespace jacinthspool {

struct tcp_options {
  /// TCP_USER_TIMEOUT: the connection fails when sent data is not acknowledged for this long.
  milliseconds user_timeout = seconds(20);
  /// Enables TCP keep-alive probes, which detect a dead connection while nothing is being sent.
  bool keep_alive_probes = false;
};

/// \brief Receives the events of a TCP stream; may close or destroy the stream in any of them.
class tcp_listener {
 public:
  virtual ~tcp_listener() = default;
  virtual void OnConnected() = 0;
  virtual void OnBytes(std::span<const std::uint8_t> bytes) = 0;
  /// \brief All bytes of this loop iteration have been passed to OnBytes.
  virtual void OnReadEnd() = 0;
  /// \brief The output queue has been written to the socket.
  virtual void OnDrained() = 0;
  /// \brief The kernel has taken `count` bytes of the output queue.
  virtual void OnWritten(std::size_t /*count*/) {}
  /// \brief The connection failed and is closed; no other event follows.
  virtual void OnFailed(const std::string& reason) = 0;
  /// \brief The remote end refused the connection, which is closed; no other event follows.
  virtual void OnRefused(const std::string& reason) { OnFailed(reason); }
  /// \brief The remote end closed in order, after all its bytes have been passed to OnBytes. The
  /// connection is closed; no other event follows.
  virtual void OnClosed() { OnFailed("closed by the peer"); }
};

/// \brief A non-blocking TCP connection; written bytes are queued until Flush.
///
/// A stream is connecting, connected or closed. Only the first two have a socket and a queue, so
/// nothing is sent once it is closed.
class tcp_stream {
 public:
  /// \brief Takes ownership of a connected socket.
  tcp_stream(event_loop& loop, int socket, tcp_listener& listener, const tcp_options& options = {});

  /// \brief Connects to `address` (IP:PORT); the result is reported to the listener in a later loop
  /// iteration. An address that cannot be used is never reported; the owner needs a timeout.
  tcp_stream(event_loop& loop, const std::string& address, tcp_listener& listener,
             const tcp_options& options = {});

  ~tcp_stream();
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// \brief Queues bytes for sending.
  void Write(std::span<const std::uint8_t> bytes);

  /// \brief Writes the queue to the socket; the rest follows when the socket is writable.
  void Flush();

  /// \brief Pauses or resumes reading; while paused, TCP flow control slows the remote end down.
  ///
  /// While paused, a close by the remote end is not detected.
  void PauseReading(bool paused);

  /// \brief Sets how many bytes the kernel takes before the remote end has received them, as far as
  /// the system allows it. It goes on sending them after this process has ended.
  void SetSendBuffer(int bytes);

  /// \brief Closes the connection at once and discards the queue; no event follows.
  void Close();

  /// \returns Bytes that the kernel has not taken yet; 0 once the stream is closed.
  [[nodiscard]] std::size_t queued_bytes() const;

  /// \returns true when nothing has arrived that has not been passed to the listener: neither bytes
  /// nor the end of the connection.
  [[nodiscard]] bool quiet() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_TCP_STREAM_H_
