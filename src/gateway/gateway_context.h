#ifndef JACINTHSPOOL_GATEWAY_GATEWAY_CONTEXT_H_
#define JACINTHSPOOL_GATEWAY_GATEWAY_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/backend_selector.h"
#include "jacinthspool/routing/byte_budget.h"
#include "jacinthspool/routing/configuration_freshness.h"
#include "jacinthspool/routing/crash_quarantine.h"
#include "jacinthspool/routing/engine_pace.h"
#include "jacinthspool/routing/forward_retry_budget.h"
#include "jacinthspool/routing/load_shedder.h"
#include "jacinthspool/routing/output_length_estimate.h"
#include "jacinthspool/routing/planned_stop.h"
#include "jacinthspool/routing/prefill_placement.h"
#include "jacinthspool/routing/prefill_share_estimate.h"
#include "jacinthspool/routing/request_rate_meter.h"
#include "jacinthspool/routing/retry_detector.h"
#include "jacinthspool/routing/route_table.h"
#include "jacinthspool/routing/send_limiter.h"
#include "jacinthspool/routing/tenants.h"
#include "jacinthspool/routing/unfinished_bytes.h"
#include "src/gateway/background_call.h"
#include "src/gateway/wire_dialect.h"
#include "src/telemetry/bounded_labels.h"
#include "src/telemetry/metrics.h"
#include "src/transport/event_loop.h"
#include "src/transport/http1_client.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief State that is shared by the requests in progress in one gateway.
struct gateway_context {
  event_loop& loop;
  timer_service& timers;
  http1_client& client;
  const wire_dialect& dialect;
  route_table routes;
  tenant_directory tenants = tenant_directory();  ///< Of the configuration in force.
  configuration_freshness freshness = configuration_freshness({});
  backend_list backends;
  backend_selector selector;
  forward_retry_budget budget;
  output_length_estimate outputs;
  retry_detector retries;
  load_shedder shedder;
  request_rate_meter traffic;
  send_limiter limiter;
  prefill_share_estimate balance;
  prefill_placement prefills;
  crash_quarantine quarantine;
  background_calls background;
  metrics_registry metrics;
  std::mt19937_64 random;
  byte_budget bytes = {};              ///< Held for callers and servers.
  unfinished_bytes unfinished = {};    ///< Of bodies, by server.
  engine_pace pace = engine_pace({});  ///< Of the decode engines, as known by all gateways.
  std::uint32_t gateways = 1;          ///< That serve the callers, this one included.
  bounded_labels counted_priorities = bounded_labels({});
  bounded_labels counted_tenants = bounded_labels({});
  /// Has the list of servers confirmed soon; empty: nothing can.
  std::function<void()> confirm_list = {};
  std::optional<planned_stop> stop = {};  ///< Set once this process has been told to stop.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_GATEWAY_CONTEXT_H_
