#include "jacinthspool/routing/named_limits.h"

#include <algorithm>
#include <utility>

#include "jacinthspool/impl/overloaded.h"

namespace jacinthspool {

named_limits::change named_limits::OnReply(const std::string& backend, std::uint64_t started_ms,
                                           const rate_statement& statement, instant sent,
                                           instant now) {
  return std::visit(overloaded{[](const rate_unstated&) { return change::kNone; },
                               [](const rate_unreadable&) { return change::kNone; },
                               [&](const rate_limited& limited) {
                                 return Apply({.backend = backend,
                                               .started_ms = started_ms,
                                               .per_second = limited.per_second,
                                               .stated = now});
                               },
                               [&](const rate_unlimited&) {
                                 const auto known = limits_.find(backend);
                                 const bool lifts = known != limits_.end() &&
                                                    known->second.per_second &&
                                                    sent > known->second.stated;
                                 return lifts ? Apply({.backend = backend,
                                                       .started_ms = started_ms,
                                                       .per_second = std::nullopt,
                                                       .stated = now})
                                              : change::kNone;
                               }},
                    statement);
}

named_limits::change named_limits::OnPeer(const named_limit& heard) {
  const auto known = limits_.find(heard.backend);
  const bool newer = known == limits_.end() || heard.started_ms > known->second.started_ms ||
                     heard.stated > known->second.stated;
  return newer ? Apply(heard) : change::kNone;
}

named_limits::change named_limits::Apply(const named_limit& next) {
  if (const auto known = limits_.find(next.backend);
      known != limits_.end() && next.started_ms < known->second.started_ms) {
    return change::kNone;  // Of an incarnation that has ended.
  }
  const named_limit before = std::exchange(limits_[next.backend], next);
  const std::optional<double> in_force =
      before.started_ms == next.started_ms ? before.per_second : std::nullopt;
  if (in_force == next.per_second) {
    return change::kNone;
  }
  return !in_force ? change::kNamed : next.per_second ? change::kChanged : change::kLifted;
}

std::optional<double> named_limits::Find(const std::string& backend,
                                         std::uint64_t started_ms) const {
  const auto found = limits_.find(backend);
  return found != limits_.end() && found->second.started_ms == started_ms ? found->second.per_second
                                                                          : std::nullopt;
}

bool named_limits::any() const {
  return std::any_of(limits_.begin(), limits_.end(),
                     [](const auto& each) { return each.second.per_second.has_value(); });
}

void named_limits::Expire(instant now) {
  std::erase_if(limits_,
                [&](const auto& each) { return now - each.second.stated > settings_.retention; });
}

}  // namespace jacinthspool
