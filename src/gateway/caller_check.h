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

/// \brief Why a request must not be sent for its caller.
struct caller_refusal {
  int status = 0;
  std::string_view why = {};
  milliseconds retry_after{};  ///< Where the status is 503.
};

/// \brief Decides whether a request that has just come may be admitted.
///
/// While the configuration is unconfirmed, also a key that nobody holds is none to reject: a newer
/// configuration may have it.
[[nodiscard]] std::optional<caller_refusal> RefusalOf(gateway_context& context,
                                                      const identification& caller,
                                                      const std::optional<key_digest>& key,
                                                      instant now);

/// \brief Decides again, just before a request is sent, by the configuration then in force.
[[nodiscard]] std::optional<caller_refusal> RefusalBeforeSend(
    gateway_context& context, const std::optional<caller_identity>& caller,
    std::string_view request, instant now);

/// \brief Logs when keys cease to admit requests, and when they do so again.
/// \param unconfirmed What was logged last; false before the first time.
void ReportFreshness(gateway_context& context, instant now, bool& unconfirmed);

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
