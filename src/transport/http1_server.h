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

/// \brief A request that was read whole.
struct http1_request {
  http1_head head;
  std::string body;
  instant received{};
};

/// \brief Answers one request of a kept connection. Every method but the first ends the answer.
///
/// Nothing is sent after the caller has gone.
class http1_answer {
 public:
  virtual ~http1_answer() = default;
  /// \brief Sends the head of an answer whose length is not known.
  virtual void Begin(int status, const http_headers& headers) = 0;
  virtual void Send(std::string_view bytes) = 0;
  virtual void End() = 0;
  /// \brief Ends a begun answer so that the caller sees that it is not whole.
  virtual void Cut() = 0;
  virtual void Reply(int status, const http_headers& headers, std::string_view body) = 0;
  /// \brief `action` runs once if the caller goes before the answer has ended.
  virtual void OnCallerGone(std::function<void()> action) = 0;
  /// \returns Bytes of a begun answer that wait for the caller to take them.
  [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
  /// \brief `action` runs each time the caller has taken all that was sent.
  virtual void OnDrained(std::function<void()> action) = 0;
};

/// \brief A strict HTTP/1.1 server: one request at a time on a connection, read whole first.
class http1_server {
 public:
  using handler = std::function<void(http1_request, std::shared_ptr<http1_answer>)>;
  struct options {
    event_loop& loop;
    timer_service& timers;
    std::string address;  ///< ip:port
    handler on_request;
  };

  /// \returns Nothing and fills `error` when the address cannot be bound.
  static std::unique_ptr<http1_server> Listen(options settings, std::string& error);
  ~http1_server();

  void SetLimits(const edge_limits& limits);

  /// \brief From now on every answer ends its connection.
  void CloseAfterAnswers();

  /// \brief Takes no new connections, but for those that wait to be taken, and closes each that
  /// stays without a request for a moment: one may be on its way.
  void StopAccepting();

  /// \returns true when no connection is left.
  [[nodiscard]] bool closed() const;

  /// \returns Requests that were begun and whose answers have not been written whole.
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
