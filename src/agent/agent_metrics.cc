#include "src/agent/agent_metrics.h"

#include <variant>

#include "jacinthspool/impl/overloaded.h"

namespace jacinthspool {

void agent_metrics::RecordOrder(instant now, attempt_id id) {
  orders_[id] = {.since = now, .answered = false};
}

void agent_metrics::RecordEvent(instant now, const agent_event& event) {
  std::visit(
      overloaded{
          [&](const engine_prefilled& done) {
            registry_.Count("jacinthspool_prefill_tokens_total", {}, done.prompt_tokens);
            registry_.Count("jacinthspool_cached_tokens_total", {}, done.cached_tokens);
            RecordEnd(now, done.id, "prefill");
          },
          [&](const engine_piece& next) {
            const auto order = orders_.find(next.id);
            registry_.Count("jacinthspool_pieces_total");
            if (order != orders_.end() && !order->second.answered) {
              order->second.answered = true;
              registry_.Observe("jacinthspool_first_piece_seconds", {}, now - order->second.since);
            }
          },
          [&](const engine_finished& done) { RecordEnd(now, done.id, "decode"); },
          [&](const service_answered& done) { RecordEnd(now, done.id, "call"); },
          [&](const engine_failed& failed) {
            registry_.Count("jacinthspool_backend_failures_total");
            orders_.erase(failed.id);
          },
          [&](const engine_released& released) { orders_.erase(released.id); }, [](const auto&) {}},
      event);
}

void agent_metrics::Count(const decision& made) {
  const std::string reason = made.event == "refuse" ? made.reason : std::string();
  registry_.Count("jacinthspool_decisions_total", {{"event", made.event}, {"reason", reason}});
}

std::string agent_metrics::Render(const agent_load& load, std::size_t entries) {
  registry_.Set("jacinthspool_memory_pieces", {{"state", "total"}}, load.pieces_total);
  registry_.Set("jacinthspool_memory_pieces", {{"state", "held"}}, load.pieces_held);
  registry_.Set("jacinthspool_memory_pieces", {{"state", "granted"}}, load.pieces_granted);
  registry_.Set("jacinthspool_running", {}, load.running);
  registry_.Set("jacinthspool_queued", {}, load.queued);
  registry_.Set("jacinthspool_leaving", {}, load.leaving ? 1 : 0);
  registry_.Set("jacinthspool_backend_up", {}, load.backend_up ? 1 : 0);
  registry_.Set("jacinthspool_entries", {}, static_cast<double>(entries));
  return registry_.Render();
}

void agent_metrics::RecordEnd(instant now, attempt_id id, const std::string& kind) {
  const auto order = orders_.find(id);
  if (order == orders_.end()) {
    return;
  }
  registry_.Observe("jacinthspool_backend_seconds", {{"kind", kind}}, now - order->second.since);
  orders_.erase(order);
}

}  // namespace jacinthspool
