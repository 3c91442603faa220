#ifndef JACINTHSPOOL_TESTS_STANDINS_COMMON_H_
#define JACINTHSPOOL_TESTS_STANDINS_COMMON_H_

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/http_server.h"
#include "src/transport/timer_service.h"

namespace jacinthspool::standins {

using exchange_ptr = std::shared_ptr<http_exchange>;

/// \brief Event loop, timers and HTTP client of a stand-in.
struct standin_context {
  event_loop& loop;
  timer_service& timers;
  http_client& client;
};

/// \brief Posts `action` to the event loop after `delay`, unless the returned subscription is
/// cancelled or destroyed before.
inline timer_subscription PostAfter(const standin_context& context, microseconds delay,
                                    std::function<void()> action) {
  event_loop& loop = context.loop;
  return context.timers.After(
      delay, [&loop, action = std::move(action)](instant /*now*/) { loop.Post(action); });
}

inline void ReplyJson(http_exchange& exchange, int status, const nlohmann::json& body) {
  exchange.Reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

inline void ReplyError(http_exchange& exchange, int status, const std::string& message) {
  ReplyJson(exchange, status, {{"error", {{"message", message}, {"code", status}}}});
}

/// \returns The body as a JSON object; an empty object if the body is not one.
inline nlohmann::json BodyOf(const http_exchange& exchange) {
  nlohmann::json body = nlohmann::json::parse(exchange.body(), nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

/// \brief Merges the faults in the request body into `current` and replies with the result.
template <typename faults>
void UpdateFaults(http_exchange& exchange, faults& current) {
  nlohmann::json merged = current;
  merged.merge_patch(BodyOf(exchange));
  current = merged.get<faults>();
  ReplyJson(exchange, 200, merged);
}

/// \returns The query parameters of a request target, not percent-decoded.
inline std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::size_t length = next == std::string::npos ? next : next - at - 1;
    const std::string field = target.substr(at + 1, length);
    const std::size_t equals = field.find('=');
    query[field.substr(0, equals)] =
        equals == std::string::npos ? std::string() : field.substr(equals + 1);
    at = next;
  }
  return query;
}

/// \brief Rejects requests whose fencing token is older than the newest one seen.
class fencing_check {
 public:
  explicit fencing_check(bool enabled) : enabled_(enabled) {}

  /// \returns true if the request may run; otherwise the exchange has been answered with 409.
  bool Admit(http_exchange& exchange) {
    const std::string text = exchange.header("X-Fencing-Token");
    const std::uint64_t token = text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
    if (enabled_ && token < newest_) {
      ReplyError(exchange, 409, "order of an earlier incarnation");
      return false;
    }
    newest_ = std::max(newest_, token);
    return true;
  }

 private:
  bool enabled_;
  std::uint64_t newest_ = 0;
};

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_COMMON_H_
