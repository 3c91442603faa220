#include "src/gateway/pace_notes.h"

#include "src/telemetry/log.h"

namespace jacinthspool {

void RecordPace(gateway_context& context, stream_pace& stream, const backend_record& server,
                std::optional<std::uint64_t> last_event) {
  if (!last_event || server.stage != engine_stage::kDecode) {
    return;
  }
  const instant now = timer_service::now();
  const auto piece = stream.OnEvents(server.id, *last_event, now);
  const engine_profile* engine =
      piece ? context.routes.configuration()->FindEngine(server.service) : nullptr;
  if (engine != nullptr && engine->longest_hold > microseconds(0)) {
    context.pace.Record(server, piece->events, piece->taken, now);
  }
}

void LearnOutput(gateway_context& context, const std::string& service, const model_work& work,
                 std::uint64_t tokens, instant begun) {
  context.outputs.Learn(service, work.expected_output_tokens, tokens);
  context.balance.OnOutput(service, tokens, timer_service::now() - begun);
}

void UpdatePaces(gateway_context& context, line_limit& lines) {
  const instant now = timer_service::now();
  for (const pace_change& change : context.pace.Update(context.backends.backends(), now)) {
    context.metrics.Count("gateway_pace_changes");
    if (!lines.Permits(change.backend, now)) {
      continue;
    }
    Log(log_level::kInfo, "pace_changed",
        {{"backend", change.backend},
         {"before_us", change.before.count()},
         {"after_us", change.after.count()},
         {"reporters", change.reporters},
         {"events", change.events},
         {"age_ms", change.age / milliseconds(1)},
         {"suppressed", lines.TakeSuppressed()}});
  }
  if (context.pace.known() > 0) {
    context.metrics.Set("gateway_paces_known", {}, static_cast<double>(context.pace.known()));
  }
}

}  // namespace jacinthspool
