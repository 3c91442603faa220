#ifndef JACINTHSPOOL_TRANSPORT_HTTP1_CLIENT_H_
#define JACINTHSPOOL_TRANSPORT_HTTP1_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "jacinthspool/impl/time.h"
#include "src/transport/event_loop.h"
#include "src/transport/http1_reader.h"
#include "src/transport/send_trace.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief How the client proceeds after the head of a reply.
enum class head_action {
  kAccept,  ///< The reply belongs to this call; its body follows.
  /// The reply belongs to another request: discard it and wait for the next. The connection is
  /// closed after the call.
  kSkip,
  kClose,  ///< The connection cannot be trusted and is closed.
};

/// \brief How a call ended.
enum class call_outcome {
  kWhole,      ///< The complete reply was received.
  kUnsent,     ///< No byte of the request was sent.
  kRefused,    ///< Likewise: the server refused the connection.
  kLost,       ///< The request was sent at least in part; no reply began.
  kCut,        ///< The connection failed in the middle of the reply.
  kMalformed,  ///< The reply is not valid HTTP, exceeds a limit, or belongs to another request.
};

[[nodiscard]] std::string_view ToString(call_outcome end);

/// \brief Receives the events of a call; may destroy the call in any of its methods.
class http1_call_listener {
 public:
  virtual ~http1_call_listener() = default;
  virtual head_action OnHead(const http1_head& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  /// \brief Called exactly once, as the last event.
  /// \param reason Why the call failed, for the log; empty after a complete reply.
  virtual void OnEnd(call_outcome end, const std::string& reason) = 0;
};

/// \brief A running call; destroying it before its end closes its connection.
class http1_call {
 public:
  virtual ~http1_call() = default;
  /// \returns true when its connection has carried no earlier call.
  [[nodiscard]] virtual bool first_on_connection() const = 0;
  /// \brief Pauses or resumes reading of the reply.
  virtual void PauseReply(bool paused) = 0;
  /// \returns What was sent so far; final once the call has ended.
  [[nodiscard]] virtual send_trace trace() const = 0;
};

struct http1_call_options {
  std::string address;       ///< ip:port
  std::string bytes;         ///< The complete request as sent on the wire.
  std::string request = {};  ///< Id of the caller's request, for log lines; empty: none.
  bool expects_body = true;  ///< false for HEAD.
  bool new_connection =
      false;  ///< Do not reuse a connection on which an earlier reply may be pending.
  milliseconds connect_timeout = seconds(1);
  milliseconds max_idle = seconds(4);  ///< A connection idle for longer is not reused.
  /// A reply with a longer body ends as malformed, and its connection is closed.
  std::size_t max_body_bytes = 64U << 10U;
};

/// \brief HTTP/1.1 client with persistent connections and strict parsing of replies.
///
/// It distinguishes a request that was never sent from one that the server may have
/// read, streams bodies to the listener as they arrive, and lets the listener discard
/// replies that belong to another request. `http_client` collects its answers.
class http1_client {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    milliseconds user_timeout = seconds(5);   ///< TCP_USER_TIMEOUT of the connections.
    std::size_t max_head_bytes = 16U << 10U;  ///< Limit for the head of a reply.
    std::size_t max_idle_connections = 16;    ///< Limit for each address.
  };

  explicit http1_client(const options& settings);
  ~http1_client();

  /// \brief Starts a call; OnEnd is called in a later loop iteration at the earliest.
  [[nodiscard]] std::unique_ptr<http1_call> Start(const http1_call_options& call,
                                                  http1_call_listener& listener);

  /// \returns Number of connections opened so far.
  [[nodiscard]] std::uint64_t connections_opened() const;

  /// \returns Number of bytes of requests that were sent although their call had ended.
  [[nodiscard]] std::uint64_t bytes_after_end() const;

 private:
  struct state;
  class connection;
  class call_handle;
  std::shared_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP1_CLIENT_H_
