#ifndef JACINTHSPOOL_ROUTING_RETRY_AFTER_H_
#define JACINTHSPOOL_ROUTING_RETRY_AFTER_H_

#include <cstdint>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Lengthens a wait above 0 by up to a quarter, so that callers rejected together do not
/// retry together.
[[nodiscard]] constexpr milliseconds WithJitter(milliseconds wait, std::uint64_t random) {
  const std::uint64_t part = random % static_cast<std::uint64_t>(wait.count());
  return wait + milliseconds(static_cast<std::int64_t>(part) / 4);
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_RETRY_AFTER_H_
