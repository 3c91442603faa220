#ifndef JACINTHSPOOL_TESTS_GATEWAY_BARE_CONTEXT_H_
#define JACINTHSPOOL_TESTS_GATEWAY_BARE_CONTEXT_H_

#include <cstdint>
#include <string>

#include "platform/replica_dialect.h"
#include "src/gateway/backend_notices.h"
#include "src/gateway/gateway_context.h"
#include "tests/transport/loop_step.h"

namespace jacinthspool {

/// \brief The state of a gateway without its requests, with timers that fire when the test says so.
struct bare_context {
  event_loop loop;  ///< Of the sockets.
  stepped_timers clock;
  stepped_timers still;  ///< Never fires: the client's own timers.
  http1_client client{{.loop = loop, .timers = still.timers}};
  platform::replica_dialect dialect;
  gateway_context context{.loop = loop,
                          .timers = clock.timers,
                          .client = client,
                          .dialect = dialect,
                          .routes = {},
                          .backends = backend_list({}),
                          .selector = backend_selector({.data_centre = "dc"}),
                          .budget = forward_retry_budget({}),
                          .outputs = output_length_estimate({}),
                          .retries = retry_detector({}),
                          .shedder = load_shedder({}),
                          .traffic = request_rate_meter({}),
                          .limiter = send_limiter({.gateway = "g"}),
                          .balance = prefill_share_estimate({}),
                          .prefills = prefill_placement({}),
                          .quarantine = crash_quarantine({.gateway = "g"}),
                          .background = {},
                          .metrics = {},
                          .random = std::mt19937_64(1)};

  backend_record Publish(const std::string& service, engine_stage stage, std::uint16_t port) {
    backend_record record{.id = "i-0",
                          .service = service,
                          .address = "127.0.0.1:" + std::to_string(port),
                          .data_centre = "dc",
                          .stage = stage,
                          .slots = 4,
                          .published = 1};
    context.backends.Put(record);
    context.selector.Update(context.backends.backends());
    return record;
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_GATEWAY_BARE_CONTEXT_H_
