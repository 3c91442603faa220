#ifndef JACINTHSPOOL_ROUTING_CONFIGURATION_H_
#define JACINTHSPOOL_ROUTING_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/edge_limits.h"

/// \file
/// \brief What operators configure for requests that are forwarded by host and path.

namespace jacinthspool {

/// \brief What a route's requests allow.
enum class request_kind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStreaming,      ///< Answered by events; runs at most once unless it is resumable.
};

struct route_target {
  std::string service = {};
  std::uint32_t weight = 1;
};

struct forward_route {
  std::string name = {};
  std::string host = {};
  std::string prefix = {};  ///< Begins and ends with a slash.
  request_kind kind = request_kind::kNonIdempotent;
  std::uint32_t max_attempts = 1;  ///< Backend servers on which one request may run.
  milliseconds timeout{};          ///< Longest time a caller is kept waiting.
  milliseconds latency_objective{};
  /// Callers leave a stream that is silent for longer, also before its first event; 0: never.
  milliseconds silence_limit{};
  std::uint32_t priority = 0;  ///< 0 is the most important.
  std::vector<route_target> targets = {};
  bool resumable = false;  ///< A broken stream may go on at another backend server.

  /// \returns true when a request may run a second time after it may have run once.
  [[nodiscard]] bool repeatable() const {
    return kind == request_kind::kIdempotent || (kind == request_kind::kStreaming && resumable);
  }
};

/// \brief What is known of the model engines of a service.
struct engine_profile {
  std::uint64_t kv_tokens = 0;         ///< KV cache of one engine.
  microseconds kv_handle_life{};       ///< How long a prefilled prompt waits to be fetched.
  microseconds longest_hold{};         ///< Room is kept for a request for so long; 0: never.
  std::uint32_t tokens_per_event = 1;  ///< Of a streamed answer.
};

struct forward_service {
  std::string name = {};
  std::optional<engine_profile> engine = {};
};

struct forward_configuration {
  std::uint64_t version = 0;
  std::vector<forward_route> routes = {};
  std::map<std::string, forward_service> services = {};
  edge_limits limits = {};

  /// \returns What the operators tell of the service's engines, or null.
  [[nodiscard]] const engine_profile* FindEngine(const std::string& service) const {
    const auto found = services.find(service);
    const bool known = found != services.end() && found->second.engine;
    return known ? &*found->second.engine : nullptr;
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CONFIGURATION_H_
