#include "jacinthspool/routing/tenant_credit.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

/// Credit that is not used in this time returns to its home.
constexpr microseconds kLentLife = seconds(1);
/// Decay of the demand that is remembered.
constexpr double kDemandSeconds = 0.5;
/// Requests with a price below this part of a second's rate are paid ahead.
constexpr double kSmallPart = 0.05;
constexpr microseconds kMaxRetryAfter = seconds(5);

double Seconds(microseconds time) { return std::chrono::duration<double>(time).count(); }

microseconds Time(double seconds) {
  return microseconds(static_cast<std::int64_t>(std::ceil(seconds * 1e6)));
}

}  // namespace

std::string_view ToString(credit_source source) {
  switch (source) {
    case credit_source::kLocal:
      return "local";
    case credit_source::kHome:
      return "home";
    case credit_source::kRefusal:
      return "refusal";
    case credit_source::kOwnShare:
      return "own_share";
  }
  return "";
}

std::vector<std::string> tenant_credit::Reached() const {
  std::vector<std::string> reached;
  std::copy_if(settings_.homes.begin(), settings_.homes.end(), std::back_inserter(reached),
               [&](const std::string& home) { return !down_.contains(home); });
  return reached;
}

tenant_credit::account& tenant_credit::AccountOf(const stated_limit& of, instant now) {
  account& held = accounts_[of.tenant];
  if (held.of.limit != of.limit) {
    held.refused_until = now;
    held.next_return = now;
    held.lent = std::min(held.lent, of.limit.burst);
  }
  held.of = of;
  if (now >= held.expires) {
    held.lent = std::min(held.lent, 0.0);
  }
  return held;
}

credit_rejected tenant_credit::Rejected(account& held, double price, microseconds available,
                                        std::uint32_t askers, instant now) {
  const instant latest = now + kMaxRetryAfter;
  const instant at = std::min(std::max(held.next_return, now + available), latest);
  held.next_return = at + std::min(Time(price * askers / held.of.limit.per_second), kMaxRetryAfter);
  return {.retry_after = at - now};
}

payment tenant_credit::Pay(const stated_limit& of, double price, instant now) {
  account& held = AccountOf(of, now);
  if (of.limit.per_second <= 0 || price <= 0) {
    return credit_paid{};
  }
  held.demand = held.demand * std::exp(-Seconds(now - held.demand_at) / kDemandSeconds) + price;
  held.demand_at = now;
  if (held.lent >= price) {
    held.lent -= price;
    return credit_paid{};
  }
  const std::string home = CreditHomeOf(of.tenant, Reached());
  if (home.empty()) {
    return PayFromOwnShare(of, price, now);
  }
  if (now < held.refused_until && price >= held.refused_price) {
    credit_rejected rejected = Rejected(held, price, held.refused_until - now, held.askers, now);
    rejected.age = now - held.refused_at;
    return rejected;
  }
  const bool small = price < kSmallPart * of.limit.per_second;
  const double most = kDemandSeconds * of.limit.per_second / gateways_;
  return credit_needed{.home = home,
                       .ask = {.tenant = of.tenant,
                               .version = of.version,
                               .limit = of.limit,
                               .price = price,
                               .ahead = small ? std::min(held.demand, most) : 0}};
}

payment tenant_credit::OnAnswer(const credit_needed& asked, const credit_answer& answer,
                                instant now) {
  OnContact(asked.home);
  account& held = accounts_[asked.ask.tenant];
  held.askers = std::max(answer.askers, 1U);
  if (answer.granted) {
    if (answer.ahead > 0) {
      held.lent = (now < held.expires ? held.lent : 0) + answer.ahead;
      held.expires = now + kLentLife;
    }
    return credit_paid{.wait = answer.wait, .source = credit_source::kHome};
  }
  if (now >= held.refused_until || asked.ask.price < held.refused_price) {
    held.refused_price = asked.ask.price;
  }
  held.refused_at = now;
  held.refused_until = now + answer.wait;
  credit_rejected rejected = Rejected(held, asked.ask.price, answer.wait, held.askers, now);
  rejected.source = credit_source::kHome;
  return rejected;
}

bool tenant_credit::OnNoAnswer(const std::string& home, instant now) {
  return down_.try_emplace(home, now).second;
}

payment tenant_credit::PayFromOwnShare(const stated_limit& of, double price, instant now) {
  account& held = AccountOf(of, now);
  const double rate = of.limit.per_second / gateways_;
  const double burst = of.limit.burst / gateways_;
  if (held.own_share.empty()) {
    // All gateways may lose the homes at once; their first large requests must not come together.
    const double phase = static_cast<double>(HashKey(of.tenant, settings_.seed) >> 11U) * 0x1.0p-53;
    held.own_share.emplace_back(-phase * std::max(price - burst, 0.0), now);
  }
  credit_bucket& bucket = held.own_share.front();
  bucket.Fill(rate, burst, now);
  if (const auto wait = bucket.Take(std::min(price, burst), rate, burst)) {
    bucket.Return(-std::max(0.0, price - burst));
    return credit_paid{.wait = *wait, .source = credit_source::kOwnShare};
  }
  credit_rejected rejected = Rejected(
      held, price, bucket.AvailableIn(std::min(price, burst), rate, burst), gateways_, now);
  rejected.source = credit_source::kOwnShare;
  return rejected;
}

void tenant_credit::Refund(const std::string& tenant, double price, instant now) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) {
    return;
  }
  account& held = found->second;
  held.lent =
      std::min((now < held.expires ? held.lent : 0) + price, std::max(held.of.limit.burst, price));
  held.expires = now + kLentLife;
}

std::vector<credit_needed> tenant_credit::TakeUnused(instant now) {
  std::vector<credit_needed> unused;
  for (auto& [name, held] : accounts_) {
    if (held.lent > 0 && now + kLentLife / 2 >= held.expires) {
      const double returned = std::exchange(held.lent, 0.0);
      const std::string home = CreditHomeOf(name, Reached());
      // After a suspension it is too late: the home has counted on by then.
      if (now < held.expires && !home.empty()) {
        unused.push_back({.home = home,
                          .ask = {.tenant = name,
                                  .version = held.of.version,
                                  .limit = held.of.limit,
                                  .returned = returned}});
      }
    }
  }
  return unused;
}

}  // namespace jacinthspool
