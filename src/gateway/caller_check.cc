#include "src/gateway/caller_check.h"

#include <set>
#include <utility>

namespace jacinthspool {
namespace {

/// Tenants, and priorities, that have a metric of their own.
constexpr std::size_t kMaxCountedGroups = 32;

}  // namespace

identification IdentifyCaller(const gateway_context& context, const forward_request& request,
                              const forward_route& route) {
  const auto& work = request.model;
  return Identify(context.tenants,
                  {.public_route = route.is_public,
                   .route_priority = route.priority,
                   .key = request.key,
                   .tokens = work ? std::optional(work->prompt_tokens + work->max_output_tokens)
                                  : std::nullopt});
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
  const auto label = [](std::set<std::string>& known, std::string name) {
    if (known.size() < kMaxCountedGroups) {
      known.insert(name);
    }
    return known.contains(name) ? std::move(name) : std::string("other");
  };
  context.metrics.Count(
      "gateway_priority_requests",
      {{"outcome", std::string(outcome)},
       {"priority", label(context.counted_priorities, std::to_string(claim.priority.tenant) + "." +
                                                          std::to_string(claim.priority.route))}});
  if (!claim.tenant.empty()) {
    context.metrics.Count("gateway_tenant_requests",
                          {{"outcome", std::string(outcome)},
                           {"tenant", label(context.counted_tenants, claim.tenant)}});
  }
}

}  // namespace jacinthspool
