#include "jacinthspool/routing/credit_lender.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

/// Longest time that a granted request waits until its price is there.
constexpr microseconds kMaxWait = milliseconds(200);
/// Part of the burst with which a new account starts. A new home does not know what was lent before
/// it: a full burst at each restart would exceed the limit, and none would reject what is below it.
constexpr double kStartPart = 0.4;
/// Part of the burst that is left when credit is lent for requests to come.
constexpr double kPlentyPart = 0.5;
/// A gateway that has sent nothing for this time does not count as using this home.
constexpr microseconds kMemberLife = milliseconds(1500);
/// Part for which a gateway counts that has only now come to this home: the one before it may still
/// count it.
constexpr double kNewPart = 0.7;
/// From this part of the known gateways on, the whole rate is lent: the others may have ended.
constexpr double kWholePart = 0.75;
constexpr microseconds kViewsLife = milliseconds(50);
constexpr std::size_t kMaxMembers = 4096;
/// Accounts that are kept.
constexpr std::size_t kMaxAccounts = 65536;

microseconds TimeFor(double amount, double per_second) {
  constexpr double kLongest = 60;
  const double taken = per_second > 0 ? std::clamp(amount / per_second, 0.0, kLongest) : kLongest;
  return microseconds(static_cast<std::int64_t>(std::ceil(taken * 1e6)));
}

/// What must be there for a price to be taken.
double Needed(double price, double burst) { return std::clamp(price - burst, 0.0, burst); }

}  // namespace

void credit_bucket::Fill(double per_second, double burst, instant now) {
  const double passed =
      std::chrono::duration<double>(std::max(now - filled_, microseconds(0))).count();
  level_ = std::min(burst, level_ + per_second * passed);
  filled_ = std::max(filled_, now);
}

std::optional<microseconds> credit_bucket::Take(double price, double per_second, double burst) {
  if (level_ < Needed(price, burst)) {
    return std::nullopt;
  }
  const microseconds wait = TimeFor(std::min(price, burst) - level_, per_second);
  level_ -= price;
  return std::min(wait, kMaxWait);
}

microseconds credit_bucket::AvailableIn(double price, double per_second, double burst) const {
  return TimeFor(Needed(price, burst) - level_, per_second);
}

std::string CreditHomeOf(std::string_view tenant, const std::vector<std::string>& homes) {
  const auto home = HomeOf(HashKey(tenant), homes);
  return home ? homes[*home] : std::string();
}

void credit_lender::OnMember(const credit_member& member, instant now) {
  if (members_.size() >= kMaxMembers) {
    std::erase_if(members_,
                  [&](const auto& each) { return now - each.second.heard > kMemberLife; });
  }
  if (members_.size() < kMaxMembers || members_.contains(member.name)) {
    const auto [found, added] = members_.try_emplace(
        member.name, heard_member{.member = member, .heard = now, .since = now});
    heard_member& held = found->second;
    if (!added && (held.member.homes != member.homes || now - held.heard > kMemberLife)) {
      held.since = now;
    }
    held.member = member;
    held.heard = now;
  }
  UpdateViews(now);
}

void credit_lender::UpdateViews(instant now) {
  if (now - views_updated_ <= kViewsLife) {
    return;
  }
  std::map<std::vector<std::string>, double> views;
  std::uint32_t known = 1;
  std::uint32_t heard = 0;
  for (const auto& [name, each] : members_) {
    if (now - each.heard <= kMemberLife) {
      views[each.member.homes] += now - each.since > kMemberLife ? 1 : kNewPart;
      ++heard;
      known = std::max(known, each.member.gateways);
    }
  }
  known = std::max(known, heard);
  if (views != views_ || known != known_ || now - views_updated_ > kMemberLife) {
    views_ = std::move(views);
    known_ = known;
    for (auto& [name, held] : accounts_) {
      const instant until = std::min(now, views_updated_ + kMemberLife);
      held.bucket.Fill(held.share * held.limit.per_second, held.limit.burst, until);
      held.bucket.Fill(0, held.limit.burst, now);
      held.share = ShareOf(name);
    }
  }
  views_updated_ = now;
}

double credit_lender::ShareOf(std::string_view tenant) const {
  double here = 0;
  for (const auto& [homes, gateways] : views_) {
    here += CreditHomeOf(tenant, homes) == address_ ? gateways : 0;
  }
  const double part = here / known_;
  return part >= kWholePart ? 1 : part;
}

credit_lender::account& credit_lender::AccountOf(const credit_ask& ask, instant now) {
  const auto [found, added] = accounts_.try_emplace(
      ask.tenant, account{.bucket = credit_bucket(kStartPart * ask.limit.burst, now)});
  account& held = found->second;
  if (added) {
    held.share = ShareOf(ask.tenant);
  } else {
    held.bucket.Fill(held.share * held.limit.per_second, held.limit.burst, now);
  }
  if (ask.version >= held.version) {
    held.version = ask.version;
    held.limit = ask.limit;
    held.bucket.Fill(0, held.limit.burst, now);
  }
  return held;
}

credit_answer credit_lender::Lend(const std::string& gateway, const credit_ask& ask, instant now) {
  UpdateViews(now);
  if (accounts_.size() >= kMaxAccounts && !accounts_.contains(ask.tenant)) {
    accounts_.erase(accounts_.begin());
  }
  account& held = AccountOf(ask, now);
  const double burst = held.limit.burst;
  const double rate = held.share * held.limit.per_second;
  held.askers[gateway] = now;
  std::erase_if(held.askers, [&](const auto& each) { return now - each.second > kMemberLife; });
  held.bucket.Return(std::max(0.0, ask.returned));
  held.bucket.Fill(0, burst, now);
  credit_answer answer{.askers = static_cast<std::uint32_t>(held.askers.size())};
  if (ask.price <= 0) {
    return answer;
  }
  const auto wait = held.bucket.Take(ask.price, rate, burst);
  answer.granted = wait.has_value();
  answer.wait = wait.value_or(held.bucket.AvailableIn(ask.price, rate, burst));
  if (answer.granted) {
    answer.ahead =
        std::clamp(held.bucket.level() - kPlentyPart * burst, 0.0, std::max(0.0, ask.ahead));
    held.bucket.Return(-answer.ahead);
  }
  return answer;
}

}  // namespace jacinthspool
