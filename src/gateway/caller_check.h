#ifndef JACINTHSPOOL_GATEWAY_CALLER_CHECK_H_
#define JACINTHSPOOL_GATEWAY_CALLER_CHECK_H_

#include <optional>
#include <string>
#include <string_view>

#include "jacinthspool/routing/service_order.h"
#include "jacinthspool/routing/tenants.h"
#include "src/gateway/gateway_context.h"

namespace jacinthspool {

/// \brief Finds out whose request it is, by the configuration in force.
[[nodiscard]] identification IdentifyCaller(const gateway_context& context,
                                            const forward_request& request,
                                            const forward_route& route);

/// \returns The value of `attempt_fields::tenant` for a request of that caller.
[[nodiscard]] std::optional<std::string> TenantField(const gateway_context& context,
                                                     const std::optional<caller_identity>& caller);

/// \param came_back The caller has been rejected before.
[[nodiscard]] service_claim ClaimOf(const std::optional<caller_identity>& caller,
                                    const forward_route& route, bool came_back);

/// \brief Counts a request that has ended, by priority and tenant; a name or priority beyond the
/// first ones that were counted is "other".
void CountByClaim(gateway_context& context, const service_claim& claim, std::string_view outcome);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_CALLER_CHECK_H_
