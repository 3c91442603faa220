#ifndef JACINTHSPOOL_ROUTING_CONFIGURATION_H_
#define JACINTHSPOOL_ROUTING_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/edge_limits.h"
#include "jacinthspool/routing/tenants.h"

/// \file
/// \brief Configuration of requests that are forwarded by host and path.

namespace jacinthspool {

/// \brief How often the requests of a route may run.
enum class request_kind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStreaming,      ///< Answered by server-sent events; runs at most once unless it is resumable.
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
  milliseconds timeout{};          ///< From a request's arrival to the end of its answer.
  milliseconds latency_objective{};
  /// Callers abandon a stream that is silent for longer, also before its first event; 0: never.
  milliseconds silence_limit{};
  std::uint32_t priority = 0;  ///< 0 is the highest.
  std::vector<route_target> targets = {};
  bool resumable = false;  ///< A broken stream may be resumed at another backend server.
  bool is_public = false;  ///< Needs no key, also where tenants are configured.

  /// \returns true when a request may run a second time after it may have run once.
  [[nodiscard]] bool repeatable() const {
    return kind == request_kind::kIdempotent || (kind == request_kind::kStreaming && resumable);
  }
};

/// \brief Properties of the model engines of a service.
struct engine_profile {
  std::uint64_t kv_tokens = 0;         ///< KV cache capacity of one engine.
  microseconds kv_handle_life{};       ///< An unfetched KV handle expires after this.
  microseconds longest_hold{};         ///< Longest life of a reservation; 0: no reservations.
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
  std::shared_ptr<const tenant_list> tenants = {};  ///< Null: none are configured.
  /// From a process of an earlier version, which may have left its tenants out.
  bool tenants_unknown = false;

  /// \returns The configured properties of the service's engines, or null.
  [[nodiscard]] const engine_profile* FindEngine(const std::string& service) const {
    const auto found = services.find(service);
    const bool known = found != services.end() && found->second.engine;
    return known ? &*found->second.engine : nullptr;
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CONFIGURATION_H_
