#ifndef JACINTHSPOOL_TRANSPORT_HTTP_SERVER_H_
#define JACINTHSPOOL_TRANSPORT_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/transport/event_loop.h"

namespace jacinthspool {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// \brief A request and the means to answer it.
///
/// Owned by the handler. Nothing is sent after the caller has disconnected.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const std::string& method() const = 0;
  [[nodiscard]] virtual const std::string& target() const = 0;  ///< path and query
  [[nodiscard]] virtual const std::string& path() const = 0;
  [[nodiscard]] virtual const std::string& body() const = 0;
  [[nodiscard]] virtual const http_headers& headers() const = 0;
  /// \returns The value of the first header of that name, ignoring case, or an empty string.
  [[nodiscard]] virtual std::string header(std::string_view name) const = 0;

  /// \brief Sends a complete answer.
  virtual void Reply(int status, const http_headers& headers, std::string_view body) = 0;

  /// \brief Begins a streamed answer.
  virtual void StartStream(int status, const http_headers& headers) = 0;
  virtual void SendChunk(std::string_view text) = 0;
  virtual void EndStream() = 0;
  /// \brief Closes the connection without the last chunk, so that the caller detects truncation.
  virtual void AbortStream() = 0;

  /// \brief Calls `action` once if the caller disconnects before the answer has ended.
  virtual void OnCallerDisconnected(std::function<void()> action) = 0;

  /// \returns Bytes queued and not yet passed to the kernel.
  [[nodiscard]] virtual std::size_t queued_bytes() const = 0;
};

/// \brief An HTTP/1.1 server on `evhttp`.
class http_server {
 public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;
  struct options {
    event_loop& loop;
    std::string address;  ///< ip:port
    handler on_request;
    std::size_t max_body_bytes = 4U << 20U;  ///< A larger body is rejected with 413.
    std::size_t max_header_bytes = 64U << 10U;
  };

  /// \returns The server; null, with `error` set, when the address cannot be bound.
  static std::unique_ptr<http_server> Listen(options settings, std::string& error);

  ~http_server();

  /// \brief Stops accepting connections; exchanges in progress continue.
  void StopAccepting();

  /// \returns The port it listens on; the one assigned by the kernel when port 0 was given.
  [[nodiscard]] std::uint16_t port() const;

 private:
  struct state;
  explicit http_server(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP_SERVER_H_
