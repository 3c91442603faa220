#ifndef JACINTHSPOOL_TRANSPORT_HTTP_CLIENT_H_
#define JACINTHSPOOL_TRANSPORT_HTTP_CLIENT_H_

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
};

struct http_response {
  int status = 0;  ///< 0 when no whole answer came
  http_headers headers = {};
  std::string body = {};    ///< Empty when the chunks were taken one by one.
  std::string error = {};   ///< Why there is no whole answer.
  bool never_sent = false;  ///< The connection failed before any byte went out.
};

struct http_callbacks {
  /// Optional: takes the body piece by piece, after the status is known.
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

/// \brief HTTP/1.1 client on `evhttp`; keeps idle connections for reuse.
///
/// A body that ends without its proper end (length or last chunk) is an error.
class http_client {
 public:
  explicit http_client(event_loop& loop);
  ~http_client();
  [[nodiscard]] std::unique_ptr<http_call> Fetch(http_request request, http_callbacks callbacks);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP_CLIENT_H_
