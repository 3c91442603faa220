#include "src/gateway/caller_check.h"

namespace jacinthspool {

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

}  // namespace jacinthspool
