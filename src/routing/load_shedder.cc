#include "jacinthspool/routing/load_shedder.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>
#include <vector>

namespace jacinthspool {
namespace {

/// Requests of a group below which it is forgotten.
constexpr double kNegligible = 0.05;

/// \returns The most that each may get, so that together they get the total.
double EqualShare(std::vector<double> asked, double total) {
  std::ranges::sort(asked);
  for (std::size_t i = 0; i < asked.size(); ++i) {
    const double equal = total / static_cast<double>(asked.size() - i);
    if (equal <= asked[i]) {
      return equal;
    }
    total -= asked[i];
  }
  return asked.empty() ? 0 : asked.back();
}

}  // namespace

double load_shedder::rejected_share(const std::string& service, instant now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  const std::chrono::duration<double> idle = now - found->second.updated;
  const std::chrono::duration<double> half = settings_.half_life;
  return found->second.rejected * std::exp2(-idle / half);
}

double load_shedder::rejected_share(const std::string& service, instant now,
                                    const service_claim& claim) const {
  const double mean = rejected_share(service, now);
  const auto demand = demand_.find(service);
  if (demand == demand_.end()) {
    return mean;
  }
  const auto recent = [&](const recent_amount& amount) {
    return amount.At(settings_.demand_half_life, now);
  };
  const auto sum = [&](const tenant_demand& tenants) {
    return std::accumulate(
        tenants.begin(), tenants.end(), 0.0,
        [&](double total, const auto& each) { return total + recent(each.second); });
  };
  double total = 0;
  std::size_t groups = 0;
  for (const auto& [priority, tenants] : demand->second) {
    total += sum(tenants);
    groups += tenants.size();
  }
  const auto own = demand->second.find(claim.priority);
  if (groups <= 1 || total <= 0 || own == demand->second.end() || sum(own->second) <= 0) {
    return mean;
  }
  const double guaranteed = settings_.guaranteed_part * (1 - mean);
  double to_reject = mean * total;
  double of_priority = 0;
  for (auto each = demand->second.rbegin(); each != demand->second.rend(); ++each) {
    const double asked = sum(each->second);
    const double rejected = std::min(to_reject, (1 - guaranteed) * asked);
    to_reject -= rejected;
    if (each->first == claim.priority) {
      of_priority = asked > 0 ? std::clamp(rejected / asked, 0.0, 1.0) : mean;
      break;
    }
  }
  std::vector<double> asked;
  for (const auto& [tenant, amount] : own->second) {
    asked.push_back(recent(amount));
  }
  const auto of_tenant = own->second.find(claim.tenant);
  const double mine = of_tenant == own->second.end() ? 0 : recent(of_tenant->second);
  if (asked.size() <= 1 || mine <= 0) {
    return of_priority;
  }
  const double level = EqualShare(std::move(asked), (1 - of_priority) * sum(own->second));
  return std::min(1 - std::min(1.0, level / mine), 1 - guaranteed);
}

bool load_shedder::Admit(const std::string& service, std::uint64_t random, instant now,
                         const service_claim& claim) {
  auto& demand = demand_[service];
  demand[claim.priority][claim.tenant].Add(1, settings_.demand_half_life, now);
  for (auto& [priority, tenants] : demand) {
    std::erase_if(tenants, [&](const auto& each) {
      return each.second.At(settings_.demand_half_life, now) < kNegligible;
    });
  }
  std::erase_if(demand, [](const auto& each) { return each.second.empty(); });
  if (rejected_share(service, now) < settings_.min_share) {
    return true;
  }
  const double rejected = rejected_share(service, now, claim);
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
