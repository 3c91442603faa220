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

/// \brief One request of a caller, and the way to answer it.
///
/// Owned by whoever answers. Nothing is sent after the caller has gone.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const std::string& method() const = 0;
  [[nodiscard]] virtual const std::string& target() const = 0;  ///< path and query
  [[nodiscard]] virtual const std::string& path() const = 0;
  [[nodiscard]] virtual const std::string& body() const = 0;
  [[nodiscard]] virtual const http_headers& headers() const = 0;
  /// \returns The first header of that name in any case, or an empty string.
  [[nodiscard]] virtual std::string header(std::string_view name) const = 0;

  /// \brief Sends a whole answer.
  virtual void Reply(int status, const http_headers& headers, std::string_view body) = 0;

  /// \brief Begins a streamed answer.
  virtual void StartStream(int status, const http_headers& headers) = 0;
  virtual void SendChunk(std::string_view text) = 0;
  virtual void EndStream() = 0;
  /// \brief Ends a streamed answer so that the caller sees it was cut.
  virtual void AbortStream() = 0;

  /// \brief `action` runs once if the caller goes before the answer has ended.
  virtual void OnCallerGone(std::function<void()> action) = 0;

  /// \returns Bytes handed over and not yet taken by the caller's connection.
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
    std::size_t max_body_bytes = 4U << 20U;  ///< A larger body gets 413.
    std::size_t max_header_bytes = 64U << 10U;
  };

  /// \returns Nothing and fills `error` when the address cannot be bound.
  static std::unique_ptr<http_server> Listen(options settings, std::string& error);

  ~http_server();

  /// \brief Takes no new connections; exchanges in progress go on.
  void StopAccepting();

  /// \returns The port it listens on, also when the address left the choice open (port 0).
  [[nodiscard]] std::uint16_t port() const;

 private:
  struct state;
  explicit http_server(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP_SERVER_H_
