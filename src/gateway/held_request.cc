#include "src/gateway/held_request.h"

#include "src/telemetry/log.h"

namespace jacinthspool {

void ReportHeld(gateway_context& context, const std::string& request, const request_held& held) {
  const bool whole = held.evidence.suspect.is_request();
  Log(log_level::kWarning, "request_held",
      {{"request", request},
       {"suspect", ToString(held.evidence.suspect)},
       {"whole_request", whole},
       {"servers", held.evidence.servers},
       {"outages", held.evidence.outages},
       {"age_ms", held.age / milliseconds(1)},
       {"gateways", held.evidence.gateways},
       {"trials", held.trials},
       {"retry_after_ms", held.retry_after / milliseconds(1)}});
  context.metrics.Count("gateway_held_requests", {{"suspect", whole ? "request" : "part"}});
}

}  // namespace jacinthspool
