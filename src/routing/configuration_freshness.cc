#include "jacinthspool/routing/configuration_freshness.h"

#include <algorithm>

namespace jacinthspool {
namespace {

microseconds Share(double share, microseconds of) {
  return std::chrono::duration_cast<microseconds>(
      share * std::chrono::duration<double, microseconds::period>(of));
}

}  // namespace

void configuration_freshness::OnApplied(std::uint64_t version, bool needs_keys) {
  version_ = version;
  needs_keys_ = needs_keys;
}

void configuration_freshness::OnAnswer(instant sent) {
  as_of_ = as_of_ ? std::max(*as_of_, sent) : sent;
}

void configuration_freshness::OnPeer(std::uint64_t version, instant as_of) {
  if (version == version_) {
    OnAnswer(as_of);
  }
}

microseconds configuration_freshness::Limit() const {
  return Share(1 - settings_.margin_share, settings_.bound);
}

bool configuration_freshness::Ages(instant now) const {
  return applies() && (!as_of_ || now - *as_of_ >= Share(settings_.ask_share, Limit()));
}

freshness_verdict configuration_freshness::Check(instant now) const {
  if (!applies()) {
    return configuration_confirmed{};
  }
  if (!as_of_) {
    return configuration_unconfirmed{.age = std::nullopt,
                                     .retry_after = settings_.least_retry_after};
  }
  const microseconds age = now - *as_of_;
  if (age < Limit()) {
    return configuration_confirmed{.age = std::max(age, microseconds(0))};
  }
  return configuration_unconfirmed{
      .age = age,
      .retry_after = std::clamp(std::chrono::ceil<milliseconds>(age - Limit()),
                                settings_.least_retry_after, settings_.most_retry_after)};
}

}  // namespace jacinthspool
