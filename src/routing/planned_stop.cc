#include "jacinthspool/routing/planned_stop.h"

#include <algorithm>

namespace jacinthspool {
namespace {

/// Fraction of the grace period that the margin may take, for short periods.
constexpr int kMarginDivisor = 8;
/// Fraction of the grace period in which new requests may be accepted, for short periods.
constexpr int kAcceptDivisor = 2;

}  // namespace

planned_stop::planned_stop(const options& settings) {
  const microseconds margin = std::min(settings.max_margin, settings.grace / kMarginDivisor);
  accepts_until_ =
      settings.begun + std::min(settings.balancer_delay, settings.grace / kAcceptDivisor);
  answered_by_ = settings.begun + settings.grace - margin;
  exits_by_ = settings.begun + settings.grace - margin / 2;
}

}  // namespace jacinthspool
