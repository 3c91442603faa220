#include "jacinthspool/routing/stage_orders.h"

namespace jacinthspool {
namespace {

/// \returns true when both describe the same state of the same incarnation.
bool IsSameState(const backend_record& planned, const backend_record& current) {
  return planned.id == current.id && planned.started_ms == current.started_ms &&
         planned.service == current.service && planned.address == current.address &&
         planned.stage == current.stage;
}

}  // namespace

order_decision stage_orders::Decide(const backend_record& planned, engine_stage wanted,
                                    const current_record& current, instant now) {
  if (!MayAsk(now)) {
    return order_withheld{"too soon after the last order or the start"};
  }
  if (!current.record) {
    return order_withheld{"not published"};
  }
  if (current.record->leaving) {
    return order_withheld{"leaving"};
  }
  if (!IsSameState(planned, *current.record)) {
    return order_withheld{"the list is older than the record"};
  }
  if (current.at.revision == 0 || current.at < last_read_) {
    return order_withheld{"the publisher's position has decreased"};
  }
  last_read_ = current.at;
  next_order_ = now + settings_.interval;
  return stage_order{.backend = planned.id,
                     .address = planned.address,
                     .stage = wanted,
                     .fence = current.at.ordinal()};
}

}  // namespace jacinthspool
