#ifndef JACINTHSPOOL_TRANSPORT_PEER_H_
#define JACINTHSPOOL_TRANSPORT_PEER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jacinthspool/impl/messages.h"
#include "jacinthspool/impl/time.h"
#include "src/transport/event_loop.h"
#include "src/transport/key_ring.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Identity of a process, as sent in `hello`.
struct peer_identity {
  std::string role;  ///< "entry" or "agent"
  std::string name;
  std::string data_centre;
  incarnation_id incarnation = 0;
};

/// \brief An authenticated connection to another process of the system.
class peer_connection {
 public:
  virtual ~peer_connection() = default;

  /// \brief Sends a message; the messages of each request have a separate stream.
  virtual void Send(const message& value) = 0;

  /// \brief Ends the stream of a completed request.
  virtual void Finish(request_id request) = 0;

  /// \brief Closes the connection; `reason` goes to the log.
  virtual void Close(const std::string& reason) = 0;

  /// \returns The identity of the peer.
  [[nodiscard]] virtual const peer_identity& peer() const = 0;
};

/// \brief Callbacks for connection events. All run in the event loop.
///
/// Handlers may call Send, Finish and Close, and may destroy the client or server.
struct peer_handlers {
  /// The handshake has succeeded.
  std::function<void(peer_connection&)> on_up;
  std::function<void(peer_connection&, message)> on_message;
  /// Called once for each connection that was up; the connection is destroyed afterwards.
  std::function<void(peer_connection&, const std::string& reason)> on_down;
};

/// \brief Accepts connections from entries.
class peer_server {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    key_ring& keys;
    std::string address;  ///< ip:port; bound exclusively.
    peer_identity identity;
    peer_handlers handlers;
    std::size_t max_queued_bytes = 64U << 20U;  ///< A connection with more queued is closed.
    microseconds handshake_timeout = seconds(5);
  };

  /// \returns The server; null, with `error` set, when the address cannot be bound.
  static std::unique_ptr<peer_server> Listen(options settings, std::string& error);

  ~peer_server();

  /// \brief Stops accepting connections; existing ones continue.
  void StopAccepting();

  /// \returns The port it listens on; the one assigned by the kernel when port 0 was given.
  [[nodiscard]] std::uint16_t port() const;

 private:
  struct state;
  explicit peer_server(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

/// \brief Maintains one connection to an agent; reconnects with jittered exponential backoff.
class peer_client {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    key_ring& keys;
    std::string address;  ///< ip:port
    peer_identity identity;
    peer_handlers handlers;
    microseconds connect_timeout = seconds(1);
    microseconds first_backoff = milliseconds(50);
    microseconds last_backoff = seconds(2);
    std::size_t max_queued_bytes = 64U << 20U;
  };

  explicit peer_client(options settings);
  ~peer_client();

  /// \returns The connection if it is up and authenticated, otherwise null.
  [[nodiscard]] peer_connection* connection() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_PEER_H_
