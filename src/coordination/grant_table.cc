#include "jacinthspool/impl/grant_table.h"

#include <algorithm>

namespace jacinthspool {

grant_id grant_table::Issue(instant now, attempt_id attempt, microseconds lifetime) {
  const auto [position, added] = grants_.try_emplace(attempt);
  entry& grant = position->second;
  if (added) {
    grant.grant = {.incarnation = incarnation_, .counter = ++issued_};
    grant.expires = now + lifetime;
  } else {
    by_expiry_.erase({grant.expires, attempt});
    grant.expires = std::max(grant.expires, now + lifetime);
  }
  by_expiry_.emplace(grant.expires, attempt);
  return grant.grant;
}

bool grant_table::Redeem(instant now, attempt_id attempt, grant_id grant) {
  const auto position = grants_.find(attempt);
  if (position == grants_.end() || position->second.grant != grant ||
      position->second.expires <= now) {
    return false;
  }
  return Drop(attempt);
}

bool grant_table::Drop(attempt_id attempt) {
  const auto position = grants_.find(attempt);
  if (position == grants_.end()) {
    return false;
  }
  by_expiry_.erase({position->second.expires, attempt});
  grants_.erase(position);
  return true;
}

std::vector<attempt_id> grant_table::Expire(instant now) {
  std::vector<attempt_id> expired;
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    expired.push_back(by_expiry_.begin()->second);
    Drop(expired.back());
  }
  return expired;
}

std::optional<grant_id> grant_table::Find(attempt_id attempt) const {
  const auto position = grants_.find(attempt);
  if (position == grants_.end()) {
    return std::nullopt;
  }
  return position->second.grant;
}

std::optional<instant> grant_table::ExpiryOf(attempt_id attempt) const {
  const auto position = grants_.find(attempt);
  if (position == grants_.end()) {
    return std::nullopt;
  }
  return position->second.expires;
}

std::optional<instant> grant_table::next_expiry() const {
  if (by_expiry_.empty()) {
    return std::nullopt;
  }
  return by_expiry_.begin()->first;
}

}  // namespace jacinthspool
