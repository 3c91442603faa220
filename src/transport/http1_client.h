#ifndef JACINTHSPOOL_TRANSPORT_HTTP1_CLIENT_H_
#define JACINTHSPOOL_TRANSPORT_HTTP1_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "jacinthspool/impl/time.h"
#include "src/transport/event_loop.h"
#include "src/transport/http1_reader.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief What the caller makes of the head of a reply.
enum class head_verdict {
  kTake,   ///< It is the reply; its body follows.
  kSkip,   ///< It answers another request: read past it and wait for the next.
  kClose,  ///< Nothing on this connection can be trusted.
};

/// \brief How a call ended.
enum class call_end {
  kWhole,      ///< The whole reply came.
  kUnsent,     ///< No byte of the request left this process.
  kLost,       ///< The request was sent; no reply began.
  kCut,        ///< The reply began and did not end.
  kMalformed,  ///< What came is not HTTP.
};

[[nodiscard]] std::string_view ToString(call_end end);

/// \brief What the owner of a call is told. It may destroy the call in any of these.
class http1_call_listener {
 public:
  virtual ~http1_call_listener() = default;
  virtual head_verdict OnHead(const http1_head& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  /// \brief Called once, last.
  virtual void OnEnd(call_end end, const std::string& reason) = 0;
};

/// \brief A running call; destroying it before its end closes its connection.
class http1_call {
 public:
  virtual ~http1_call() = default;
  /// \brief Takes no more of the reply for now, or goes on with it.
  virtual void PauseReply(bool paused) = 0;
};

struct http1_call_options {
  std::string address;          ///< ip:port
  std::string bytes;            ///< The whole request as it goes out.
  bool expects_body = true;     ///< false for HEAD.
  bool new_connection = false;  ///< Not one on which an earlier reply may still be under way.
  milliseconds connect_timeout = seconds(1);
  milliseconds max_idle = seconds(4);  ///< A connection idle for longer is not reused.
  /// A reply with a longer body is malformed, and its connection is closed.
  std::size_t max_body_bytes = 64U << 10U;
};

/// \brief HTTP/1.1 client that keeps connections and reads replies strictly.
///
/// Unlike `http_client`, it tells a request that never left from one that may
/// have been read, passes bodies on as they come, and gives replies that belong
/// to another request a way out.
class http1_client {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    milliseconds user_timeout = seconds(5);   ///< TCP_USER_TIMEOUT of its connections.
    std::size_t max_head_bytes = 16U << 10U;  ///< Of a reply.
    std::size_t max_idle_connections = 16;    ///< Kept for one address.
  };

  explicit http1_client(const options& settings);
  ~http1_client();

  /// \brief Starts a call; the listener is told of its end in a later turn at the earliest.
  [[nodiscard]] std::unique_ptr<http1_call> Start(const http1_call_options& call,
                                                  http1_call_listener& listener);

  /// \returns New connections opened so far.
  [[nodiscard]] std::uint64_t connections_opened() const;

 private:
  struct state;
  class connection;
  class call_handle;
  std::shared_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP1_CLIENT_H_
