#ifndef JACINTHSPOOL_TRANSPORT_HTTP1_SERVER_H_
#define JACINTHSPOOL_TRANSPORT_HTTP1_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/edge_limits.h"
#include "src/transport/event_loop.h"
#include "src/transport/http1_reader.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief A completely received request.
struct http1_request {
  http1_head head;
  std::string body;
  instant received{};
};

class http1_server_connection;

/// \brief What a request's answer has in each of its states. Discarding it closes the connection,
/// so that the caller does not wait.
///
/// Nothing is sent after the caller has disconnected.
class http1_answer {
 public:
  http1_answer(http1_answer&& other) noexcept = default;
  http1_answer& operator=(http1_answer&& other) noexcept;

  /// \brief Closes the connection without a complete answer, so that the caller detects it.
  void Abort() &&;
  /// \brief Calls `action` once if the caller disconnects before the answer has ended.
  void OnCallerDisconnected(std::function<void()> action);

 protected:
  explicit http1_answer(std::shared_ptr<http1_server_connection> to) : connection_(std::move(to)) {}
  ~http1_answer();

  /// \returns The connection; the answer has ended for this object.
  [[nodiscard]] std::shared_ptr<http1_server_connection> Take() {
    return std::exchange(connection_, nullptr);
  }
  [[nodiscard]] http1_server_connection* connection() const { return connection_.get(); }

 private:
  std::shared_ptr<http1_server_connection> connection_;
};

/// \brief A streamed answer whose head has been sent. Nothing but its body can follow.
class http1_stream : public http1_answer {
 public:
  void Send(std::string_view bytes);
  void End() &&;
  /// \returns Bytes that the kernel has not accepted yet.
  [[nodiscard]] std::size_t unsent_bytes() const;
  /// \brief Calls `action` each time a backlog of unsent bytes has been written to the socket.
  void OnDrained(std::function<void()> action);

 private:
  friend class http1_responder;
  explicit http1_stream(std::shared_ptr<http1_server_connection> to)
      : http1_answer(std::move(to)) {}
};

/// \brief An answer of which nothing has been sent. It is consumed by the first step of the answer.
class http1_responder : public http1_answer {
 public:
  /// \brief Sends a complete answer.
  void Reply(int status, const http_headers& headers, std::string_view body) &&;
  /// \brief Sends the head of a streamed answer of unknown length.
  [[nodiscard]] http1_stream Begin(int status, const http_headers& headers) &&;

 private:
  friend class http1_server_connection;
  explicit http1_responder(std::shared_ptr<http1_server_connection> to)
      : http1_answer(std::move(to)) {}
};

/// \brief Strict HTTP/1.1 server; reads each request completely before handling it, and handles
/// one request at a time on a connection.
class http1_server {
 public:
  using handler = std::function<void(http1_request, http1_responder)>;
  /// \brief Bytes that the server holds for its callers.
  struct held_bytes {
    /// Of requests that are being read, a body of known length in full, and of what follows them.
    std::size_t incoming = 0;
    std::size_t unsent = 0;  ///< Of answers, that the kernel has not accepted yet.
  };
  struct options {
    event_loop& loop;
    timer_service& timers;
    std::string address;  ///< ip:port
    handler on_request;
    /// Called after each change; empty: nobody needs to know.
    std::function<void(const held_bytes&)> on_held = {};
    /// Returns true when a body of that length may be read; nothing: its length is not known. A
    /// body that waits is rejected as not run after the idle timeout. Empty: all may.
    std::function<bool(std::optional<std::uint64_t>)> may_begin_body = {};
  };

  /// \returns The server; null, with `error` set, when the address cannot be bound.
  static std::unique_ptr<http1_server> Listen(options settings, std::string& error);
  ~http1_server();

  void SetLimits(const edge_limits& limits);

  /// \brief Closes each connection after its next answer.
  void CloseAfterAnswers();

  /// \brief Accepts the connections in the backlog and no further ones. Closes each connection
  /// once it has been idle for a short time, since a request may be in transit.
  void StopAccepting();

  /// \brief Answers the requests that have been read in part, which have not run, and closes their
  /// connections.
  void RejectIncomplete(int status);

  /// \returns true when no connection is open.
  [[nodiscard]] bool closed() const;

  /// \returns Number of requests whose answers have not ended.
  [[nodiscard]] std::size_t in_progress() const;

  [[nodiscard]] std::uint16_t port() const;

 private:
  friend class http1_server_connection;
  struct state;
  explicit http1_server(std::shared_ptr<state> initial);
  std::shared_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP1_SERVER_H_
