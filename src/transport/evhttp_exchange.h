#ifndef JACINTHSPOOL_TRANSPORT_EVHTTP_EXCHANGE_H_
#define JACINTHSPOOL_TRANSPORT_EVHTTP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/transport/disconnect_watch.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_server.h"

struct evhttp_connection;
struct evhttp_request;
struct bufferevent;

namespace jacinthspool {

/// \brief An HTTP exchange on top of one `evhttp` request.
///
/// When destroyed, it sends status 500 if it is unanswered and aborts an open stream.
class evhttp_exchange : public http_exchange, public std::enable_shared_from_this<evhttp_exchange> {
 public:
  evhttp_exchange(event_loop& loop, evhttp_request* request);
  ~evhttp_exchange() override;
  evhttp_exchange(const evhttp_exchange&) = delete;
  evhttp_exchange& operator=(const evhttp_exchange&) = delete;

  [[nodiscard]] const std::string& method() const override { return method_; }
  [[nodiscard]] const std::string& target() const override { return target_; }
  [[nodiscard]] const std::string& path() const override { return path_; }
  [[nodiscard]] const std::string& body() const override { return body_; }
  [[nodiscard]] const http_headers& headers() const override { return headers_; }
  [[nodiscard]] std::string header(std::string_view name) const override;

  void Reply(int status, const http_headers& headers, std::string_view body) override;
  void StartStream(int status, const http_headers& headers) override;
  void SendChunk(std::string_view text) override;
  void EndStream() override;
  void AbortStream() override;
  void OnCallerDisconnected(std::function<void()> action) override;
  [[nodiscard]] std::size_t queued_bytes() const override;

 private:
  static void OnClosed(evhttp_connection* connection, void* context);
  [[nodiscard]] bufferevent* stream() const;
  void Detach();

  event_loop& loop_;
  evhttp_request* request_;  ///< Null once the answer has ended or the caller has disconnected.
  evhttp_connection* connection_;
  std::unique_ptr<disconnect_watch> watch_;
  std::function<void()> on_caller_gone_;
  bool streaming_ = false;
  std::string method_;
  std::string target_;
  std::string path_;
  std::string body_;
  http_headers headers_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_EVHTTP_EXCHANGE_H_
