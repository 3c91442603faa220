#include "jacinthspool/impl/lease_clock.h"

namespace jacinthspool {

void lease_clock::Renew(instant now, incarnation_id process) {
  const auto [position, added] = last_heard_.insert_or_assign(process, now);
  if (added) {
    checks_.emplace(now + lease_, process);
  }
}

std::vector<incarnation_id> lease_clock::Expire(instant now) {
  std::vector<incarnation_id> lost;
  while (!checks_.empty() && checks_.top().first <= now) {
    const incarnation_id process = checks_.top().second;
    checks_.pop();
    const auto position = last_heard_.find(process);
    if (position == last_heard_.end()) {
      continue;
    }
    const instant due = position->second + lease_;
    if (due > now) {
      checks_.emplace(due, process);
      continue;
    }
    last_heard_.erase(position);
    lost.push_back(process);
  }
  return lost;
}

void lease_clock::set_lease(microseconds lease) {
  lease_ = lease;
  checks_ = {};
  for (const auto& [process, heard] : last_heard_) {
    checks_.emplace(heard + lease_, process);
  }
}

std::optional<instant> lease_clock::next_check() const {
  if (checks_.empty()) {
    return std::nullopt;
  }
  return checks_.top().first;
}

}  // namespace jacinthspool
