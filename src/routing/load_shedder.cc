#include "jacinthspool/routing/load_shedder.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jacinthspool {

double load_shedder::rejected_share(const std::string& service, instant now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  const std::chrono::duration<double> idle = now - found->second.updated;
  const std::chrono::duration<double> half = settings_.half_life;
  return found->second.rejected * std::exp2(-idle / half);
}

bool load_shedder::Admit(const std::string& service, std::uint64_t random, instant now) const {
  const double rejected = rejected_share(service, now);
  if (rejected < settings_.min_share) {
    return true;
  }
  const double drawn =
      static_cast<double>(random) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return drawn <= 1 - rejected;
}

void load_shedder::AdjustShare(const std::string& service, double by, instant now) {
  const double moved = rejected_share(service, now) + by;
  services_[service] = {.rejected = std::clamp(moved, 0.0, settings_.max_share), .updated = now};
}

void load_shedder::OnAnswer(const std::string& service, microseconds taken, microseconds objective,
                            instant now) {
  const std::chrono::duration<double> slow =
      settings_.slow_share * std::chrono::duration<double>(objective);
  AdjustShare(service, taken > slow ? settings_.rise : -settings_.fall, now);
}

void load_shedder::OnFull(const std::string& service, instant now) {
  AdjustShare(service, settings_.rise, now);
}

}  // namespace jacinthspool
