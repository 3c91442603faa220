#include "src/agent/effect_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthspool/impl/overloaded.h"

namespace jacinthspool {

std::optional<attempt_id> OrderedAttempt(const agent_effect& effect) {
  using result = std::optional<attempt_id>;
  return std::visit(overloaded{[](const order_prefill& order) -> result { return order.id; },
                               [](const order_decode& order) -> result { return order.id; },
                               [](const order_call& order) -> result { return order.id; },
                               [](const auto&) -> result { return std::nullopt; }},
                    effect);
}

void effect_queue::Add(agent_effects effects) {
  for (agent_effect& effect : effects) {
    if (const auto* const release = std::get_if<order_release>(&effect)) {
      std::erase_if(pending_, [release](const agent_effect& earlier) {
        return OrderedAttempt(earlier) == release->id;
      });
    }
    pending_.push_back(std::move(effect));
  }
}

agent_effect effect_queue::Pop() {
  agent_effect first = std::move(pending_.front());
  pending_.pop_front();
  return first;
}

}  // namespace jacinthspool
