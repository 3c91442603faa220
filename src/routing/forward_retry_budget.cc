#include "jacinthspool/routing/forward_retry_budget.h"

#include <algorithm>

namespace jacinthspool {
namespace {

/// Slices of a window: retries are counted for one slice more than the window, a safe error.
constexpr std::int64_t kSlices = 20;
/// Fraction of the allowance that is spent; the rest covers requests that are counted here but
/// lost elsewhere.
constexpr double kSpent = 0.85;

}  // namespace

void forward_retry_budget::SetLimits(double ratio, microseconds window, double extra) {
  settings_.ratio = ratio;
  settings_.extra = extra;
  if (window != settings_.window && window > microseconds(0)) {
    settings_.window = window;
    services_.clear();
  }
}

std::int64_t forward_retry_budget::SliceNumber(instant now) const {
  return now.time_since_epoch() / (settings_.window / kSlices);
}

forward_retry_budget::slice& forward_retry_budget::Current(instant now,
                                                           const std::string& service) {
  std::vector<slice>& slices = services_[service];
  const std::int64_t number = SliceNumber(now);
  if (slices.empty() || slices.back().number != number) {
    std::erase_if(slices, [&](const slice& each) { return each.number < number - kSlices; });
    slices.push_back({.number = number});
  }
  return slices.back();
}

void forward_retry_budget::CountRequest(instant now, const std::string& service) {
  ++Current(now, service).requests;
}

double forward_retry_budget::left(instant now, const std::string& service) const {
  double requests = 0;
  double retries = 0;
  const std::int64_t number = SliceNumber(now);
  if (const auto found = services_.find(service); found != services_.end()) {
    for (const slice& each : found->second) {
      // The oldest slice is only partly inside the window: its retries count, its requests do not.
      retries += each.number >= number - kSlices ? each.retries : 0;
      requests += each.number > number - kSlices ? each.requests : 0;
    }
  }
  const std::chrono::duration<double> age = now - settings_.started;
  const std::chrono::duration<double> window = settings_.window;
  const double grown = std::clamp(age / window, 0.0, 1.0);
  const double allowed =
      settings_.ratio * requests + grown * settings_.extra / static_cast<double>(settings_.entries);
  return kSpent * allowed - retries;
}

bool forward_retry_budget::Draw(instant now, const std::string& service) {
  if (left(now, service) < 1) {
    return false;
  }
  Charge(now, service);
  return true;
}

void forward_retry_budget::Charge(instant now, const std::string& service) {
  ++Current(now, service).retries;
}

}  // namespace jacinthspool
