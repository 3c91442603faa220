#ifndef JACINTHSPOOL_TRANSPORT_HTTP_CLIENT_H_
#define JACINTHSPOOL_TRANSPORT_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jacinthspool/impl/time.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_server.h"

namespace jacinthspool {

struct http_request {
  std::string address;  ///< ip:port
  std::string method = "GET";
  std::string target = "/";
  http_headers headers = {};
  std::string body = {};
  microseconds timeout = seconds(10);  ///< Longest silence before the request fails.
  /// Longest time until the end of the answer, even while its bytes arrive; 0: twice `timeout`.
  microseconds time_limit{};
  /// A longer body fails the request; without effect on one that `on_chunk` receives.
  std::size_t max_body_bytes = 1U << 20U;
};

struct http_response {
  int status = 0;  ///< 0 when no complete answer was received.
  http_headers headers = {};
  std::string body = {};    ///< Empty when `on_chunk` has received the body.
  std::string error = {};   ///< Why there is no complete answer.
  bool never_sent = false;  ///< The request failed before any byte was sent.
};

struct http_callbacks {
  /// Optional: receives the body in chunks as they arrive, with the status.
  std::function<void(int status, std::string_view)> on_chunk = {};
  /// Called exactly once, except after Cancel.
  std::function<void(http_response)> on_done;
};

/// \brief A running request; destroying or cancelling it closes its connection.
class http_call {
 public:
  virtual ~http_call() = default;
  virtual void Cancel() = 0;
};

/// \brief HTTP/1.1 client that collects answers; an `http1_client` with limits for each call and
/// for all of them together.
///
/// A body that is not delimited by a length or a last chunk is an error.
class http_client {
 public:
  /// Limit for the bodies that are held for all calls together; a call that exceeds it fails.
  static constexpr std::size_t kMaxHeldBytes = 32U << 20U;

  explicit http_client(event_loop& loop);
  ~http_client();

  /// \brief Starts a request.
  /// \returns The running request.
  [[nodiscard]] std::unique_ptr<http_call> Fetch(http_request request, http_callbacks callbacks);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP_CLIENT_H_
