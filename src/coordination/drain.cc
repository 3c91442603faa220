#include "jacinthspool/impl/drain.h"

namespace jacinthspool {

bool drain::Set(drain_reason reason, bool leaving) {
  if (reason == drain_reason::kPlannedStop && !leaving) {
    return false;
  }
  const bool before = reasons_.any();
  reasons_.set(static_cast<std::size_t>(reason), leaving);
  return reasons_.any() != before;
}

}  // namespace jacinthspool
