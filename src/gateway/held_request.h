#ifndef JACINTHSPOOL_GATEWAY_HELD_REQUEST_H_
#define JACINTHSPOOL_GATEWAY_HELD_REQUEST_H_

#include <string>

#include "jacinthspool/routing/quarantine_verdict.h"
#include "src/gateway/gateway_context.h"

namespace jacinthspool {

/// \brief Logs and counts a request that is not sent because servers may end of it.
void ReportHeld(gateway_context& context, const std::string& request, const request_held& held);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_HELD_REQUEST_H_
