#include "jacinthspool/impl/retry_budget.h"

#include <algorithm>

namespace jacinthspool {

retry_budget::account retry_budget::Refilled(instant now, const account& before) const {
  account after = before;
  after.refilled = std::max(now, before.refilled);
  if (before.retries < settings_.floor && settings_.floor_refill_interval > microseconds::zero()) {
    const auto passed = static_cast<double>((after.refilled - before.refilled).count());
    const auto every = static_cast<double>(settings_.floor_refill_interval.count());
    after.retries = std::min(settings_.floor, before.retries + (passed / every));
  }
  return after;
}

retry_budget::account& retry_budget::AccountOf(instant now, const std::string& team) {
  account& found = accounts_.try_emplace(team, account{.retries = settings_.floor, .refilled = now})
                       .first->second;
  found = Refilled(now, found);
  return found;
}

void retry_budget::RecordSuccess(instant now, const std::string& team) {
  constexpr double kPercent = 100;
  account& earning = AccountOf(now, team);
  const double share = static_cast<double>(settings_.percent) / kPercent;
  earning.retries = std::min(settings_.limit, earning.retries + share);
}

bool retry_budget::TryConsume(instant now, const std::string& team) {
  account& drawing = AccountOf(now, team);
  if (drawing.retries < 1) {
    return false;
  }
  drawing.retries -= 1;
  return true;
}

double retry_budget::available(instant now, const std::string& team) const {
  const auto found = accounts_.find(team);
  return found == accounts_.end() ? settings_.floor : Refilled(now, found->second).retries;
}

}  // namespace jacinthspool
