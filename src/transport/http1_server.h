#ifndef JACINTHSPOOL_TRANSPORT_HTTP1_SERVER_H_
#define JACINTHSPOOL_TRANSPORT_HTTP1_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

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

/// \brief Sends the answer to one request: either Reply, or Begin, Send and then End or Cut.
///
/// Nothing is sent after the caller has disconnected.
class http1_responder {
 public:
  virtual ~http1_responder() = default;
  /// \brief Sends the head of a streamed answer of unknown length.
  virtual void Begin(int status, const http_headers& headers) = 0;
  virtual void Send(std::string_view bytes) = 0;
  virtual void End() = 0;
  /// \brief Closes the connection without the last chunk, so that the caller detects truncation.
  virtual void Abort() = 0;
  /// \brief Sends a complete answer.
  virtual void Reply(int status, const http_headers& headers, std::string_view body) = 0;
  /// \brief Calls `action` once if the caller disconnects before the answer has ended.
  virtual void OnCallerDisconnected(std::function<void()> action) = 0;
  /// \returns Bytes of a streamed answer that the kernel has not accepted yet.
  [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
  /// \brief Calls `action` each time a backlog of unsent bytes has been written to the socket.
  virtual void OnDrained(std::function<void()> action) = 0;
};

/// \brief Strict HTTP/1.1 server; reads each request completely before handling it, and handles
/// one request at a time on a connection.
class http1_server {
 public:
  using handler = std::function<void(http1_request, std::shared_ptr<http1_responder>)>;
  struct options {
    event_loop& loop;
    timer_service& timers;
    std::string address;  ///< ip:port
    handler on_request;
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

  /// \returns true when no connection is open.
  [[nodiscard]] bool closed() const;

  /// \returns Number of requests whose answers have not ended.
  [[nodiscard]] std::size_t in_progress() const;

  [[nodiscard]] std::uint16_t port() const;

 private:
  struct state;
  class connection;
  class answer;
  explicit http1_server(std::shared_ptr<state> initial);
  std::shared_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP1_SERVER_H_
