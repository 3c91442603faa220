#include "src/gateway/caller_check.h"

#include <limits>
#include <string>
#include <utility>

#include "src/telemetry/log.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

constexpr std::string_view kNotHeld = "no tenant holds the key";

/// \returns The sum, or the largest number if it exceeds that.
std::uint64_t SaturatingSum(std::uint64_t one, std::uint64_t other) {
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint64_t>::max();
  return one > kMost - other ? kMost : one + other;
}

/// \returns The refusal of a request whose key the configuration can no longer decide on.
std::optional<caller_refusal> UnconfirmedRefusal(gateway_context& context, instant now) {
  const freshness_verdict verdict = context.freshness.Check(now);
  const auto* unconfirmed = std::get_if<configuration_unconfirmed>(&verdict);
  if (unconfirmed == nullptr) {
    return std::nullopt;
  }
  context.metrics.Count("gateway_unconfirmed_refusals");
  return caller_refusal{.status = http_status::kServiceUnavailable,
                        .why = "configuration unconfirmed",
                        .retry_after = unconfirmed->retry_after};
}

}  // namespace

identification IdentifyCaller(const gateway_context& context, const forward_request& request,
                              const forward_route& route) {
  const auto& work = request.model;
  return Identify(
      context.tenants,
      {.public_route = route.is_public,
       .route_priority = route.priority,
       .key = request.key,
       .tokens = work ? std::optional(SaturatingSum(work->prompt_tokens, work->max_output_tokens))
                      : std::nullopt});
}

std::optional<caller_refusal> RefusalOf(gateway_context& context, const identification& caller,
                                        const std::optional<key_digest>& key, instant now) {
  if (std::holds_alternative<key_not_needed>(caller)) {
    return std::nullopt;
  }
  if (auto unconfirmed = UnconfirmedRefusal(context, now)) {
    return unconfirmed;
  }
  if (std::holds_alternative<key_rejected>(caller)) {
    return caller_refusal{.status = http_status::kUnauthorized, .why = key ? kNotHeld : "no key"};
  }
  return std::nullopt;
}

std::optional<caller_refusal> RefusalBeforeSend(gateway_context& context,
                                                const std::optional<caller_identity>& caller,
                                                std::string_view request, instant now) {
  if (!caller || !context.tenants.configured()) {
    return std::nullopt;
  }
  auto refused = UnconfirmedRefusal(context, now);
  if (!refused) {
    const tenant* holder = context.tenants.Find(caller->key);
    if (holder == nullptr || holder->name != caller->tenant) {
      refused = caller_refusal{.status = http_status::kUnauthorized, .why = kNotHeld};
    }
  }
  if (refused) {
    Log(log_level::kInfo, "caller_refused_before_send",
        {{"request", request},
         {"status", refused->status},
         {"why", refused->why},
         {"tenant", caller->tenant},
         {"key", ToString(caller->key)},
         {"configuration", context.routes.configuration()->version}});
  }
  return refused;
}

void ReportFreshness(gateway_context& context, instant now, bool& unconfirmed) {
  const bool refuses =
      std::holds_alternative<configuration_unconfirmed>(context.freshness.Check(now));
  if (refuses == std::exchange(unconfirmed, refuses)) {
    return;
  }
  const auto as_of = context.freshness.as_of();
  Log(refuses ? log_level::kWarning : log_level::kInfo,
      refuses ? "keys_unconfirmed" : "keys_confirmed",
      {{"version", context.routes.configuration()->version},
       {"age_ms", as_of ? (now - *as_of) / milliseconds(1) : -1}});
  context.metrics.Set("gateway_keys_unconfirmed", {}, refuses ? 1 : 0);
}

std::optional<std::string> TenantField(const gateway_context& context,
                                       const std::optional<caller_identity>& caller) {
  if (caller) {
    return caller->tenant;
  }
  return context.tenants.configured() ? std::optional(std::string()) : std::nullopt;
}

service_claim ClaimOf(const std::optional<caller_identity>& caller, const forward_route& route,
                      bool came_back) {
  if (caller) {
    return {.priority = caller->priority, .tenant = caller->tenant, .came_back = came_back};
  }
  return {.priority = {.tenant = route.priority, .route = route.priority}, .came_back = came_back};
}

void CountByClaim(gateway_context& context, const service_claim& claim, std::string_view outcome) {
  const std::string priority =
      std::to_string(claim.priority.tenant) + "." + std::to_string(claim.priority.route);
  context.metrics.Count(
      "gateway_priority_requests",
      {{"outcome", std::string(outcome)}, {"priority", context.counted_priorities.Of(priority)}});
  if (!claim.tenant.empty()) {
    context.metrics.Count(
        "gateway_tenant_requests",
        {{"outcome", std::string(outcome)}, {"tenant", context.counted_tenants.Of(claim.tenant)}});
  }
}

}  // namespace jacinthspool
