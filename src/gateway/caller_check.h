#ifndef JACINTHSPOOL_GATEWAY_CALLER_CHECK_H_
#define JACINTHSPOOL_GATEWAY_CALLER_CHECK_H_

#include <optional>
#include <string>

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

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_CALLER_CHECK_H_
