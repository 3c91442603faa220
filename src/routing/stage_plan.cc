#include "jacinthspool/routing/stage_plan.h"

#include <algorithm>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {

bool stage_plan::ShouldDecode(const std::vector<backend_record>& engines,
                              const std::string& id) const {
  std::size_t usable = 0;
  std::vector<std::string> prefilling;
  for (const backend_record& engine : engines) {
    if (engine.leaving || engine.stage == engine_stage::kNone) {
      continue;
    }
    ++usable;
    if (engine.stage == engine_stage::kPrefill) {
      prefilling.push_back(engine.id);
    }
  }
  const std::size_t percent = usable * settings_.prefill_percent;
  const std::size_t keep = std::max<std::size_t>((percent + 99) / 100, settings_.least_prefill);
  if (prefilling.size() <= keep) {
    return false;
  }
  // An order that no id favours, the same in every process.
  std::sort(prefilling.begin(), prefilling.end(),
            [](const std::string& left, const std::string& right) {
              return HashKey(left) < HashKey(right);
            });
  const auto found = std::find(prefilling.begin(), prefilling.end(), id);
  return found != prefilling.end() && static_cast<std::size_t>(found - prefilling.begin()) >= keep;
}

}  // namespace jacinthspool
