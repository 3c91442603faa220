#include "jacinthspool/routing/stage_plan.h"

#include <algorithm>
#include <cmath>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

/// \returns true when `id` is among the last `count` by hash, an order that is unbiased and the
/// same in every process.
bool IsAmongLast(std::vector<std::string> ids, const std::string& id, std::size_t count) {
  std::sort(ids.begin(), ids.end(), [](const std::string& left, const std::string& right) {
    return HashKey(left) < HashKey(right);
  });
  return std::find(ids.end() - static_cast<std::ptrdiff_t>(std::min(count, ids.size())), ids.end(),
                   id) != ids.end();
}

}  // namespace

std::optional<engine_stage> stage_plan::Change(const std::vector<backend_record>& engines,
                                               const std::string& id,
                                               std::optional<double> prefill_share) const {
  std::vector<std::string> prefilling;
  std::vector<std::string> decoding;
  for (const backend_record& engine : engines) {
    if (!engine.leaving && engine.stage != engine_stage::kNone) {
      (engine.stage == engine_stage::kPrefill ? prefilling : decoding).push_back(engine.id);
    }
  }
  const std::size_t now = prefilling.size();
  const bounds wanted = BoundsFor(now + decoding.size(), prefill_share);
  if (now > wanted.most && IsAmongLast(prefilling, id, now - wanted.most)) {
    return engine_stage::kDecode;
  }
  if (now < wanted.least && IsAmongLast(decoding, id, wanted.least - now)) {
    return engine_stage::kPrefill;
  }
  return std::nullopt;
}

stage_plan::bounds stage_plan::BoundsFor(std::size_t engines,
                                         std::optional<double> prefill_share) const {
  if (!prefill_share) {
    const std::size_t percent = engines * settings_.prefill_percent;
    return {.least = 0, .most = std::max<std::size_t>((percent + 99) / 100, settings_.min_prefill)};
  }
  if (engines < 2) {
    return {.least = 0, .most = engines};
  }
  const double wanted = *prefill_share * static_cast<double>(engines);
  const double slack = std::max(settings_.slack_engines, settings_.slack_share * wanted);
  const auto last = static_cast<double>(engines - 1);
  return {.least = static_cast<std::size_t>(std::clamp(std::ceil(wanted - slack), 1.0, last)),
          .most = static_cast<std::size_t>(std::clamp(std::floor(wanted + slack), 1.0, last))};
}

}  // namespace jacinthspool
