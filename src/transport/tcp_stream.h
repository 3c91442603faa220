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
  /// A far end that acknowledges nothing for this long is taken for dead.
  milliseconds user_timeout = seconds(20);
  /// Keep-alive probes find a silent connection although nothing is being sent.
  bool probes_silence = false;
};

/// \brief What the owner of a TCP stream is told.
class tcp_listener {
 public:
  virtual ~tcp_listener() = default;
  virtual void OnConnected() = 0;
  virtual void OnBytes(std::span<const std::uint8_t> bytes) = 0;
  /// \brief All bytes of one turn of the loop have been told.
  virtual void OnReadEnd() = 0;
  /// \brief The queue has been written.
  virtual void OnDrained() = 0;
  virtual void OnBroken(const std::string& reason) = 0;
  /// \brief The other side has closed in order; everything that it sent has been told.
  virtual void OnClosed() { OnBroken("closed by the other side"); }
};

/// \brief A non-blocking TCP connection; written bytes wait until Flush.
///
/// It may not be destroyed inside a call to its listener.
class tcp_stream {
 public:
  /// \brief Takes over a connected socket.
  tcp_stream(event_loop& loop, int socket, tcp_listener& listener, const tcp_options& options = {});

  /// \brief Connects; the listener is told of the result in a later turn.
  tcp_stream(event_loop& loop, const std::string& address, tcp_listener& listener,
             const tcp_options& options = {});

  ~tcp_stream();
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  void Write(std::span<const std::uint8_t> bytes);

  /// \brief Hands the queue to the kernel, as far as it takes it at once.
  void Flush();

  /// \brief Leaves what the other side sends in the kernel, which slows it down, or reads on.
  ///
  /// While paused, the other side's close is not noticed.
  void PauseReading(bool paused);

  [[nodiscard]] std::size_t queued_bytes() const;

  /// \returns true when bytes have arrived that the listener has not been told yet.
  [[nodiscard]] bool has_unread() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_TCP_STREAM_H_
