#include "jacinthspool/impl/backoff.h"

#include <algorithm>

namespace jacinthspool {

microseconds backoff::Delay(std::uint32_t tries, std::uint64_t random) const {
  constexpr std::uint32_t kMaxDoublings = 20;
  const std::uint32_t doublings = std::min(tries == 0 ? 0 : tries - 1, kMaxDoublings);
  const microseconds whole = std::min(settings_.last, settings_.first * (1U << doublings));
  const auto half = static_cast<std::uint64_t>(std::max<microseconds::rep>(0, whole.count() / 2));
  return whole - microseconds(static_cast<microseconds::rep>(random % (half + 1)));
}

}  // namespace jacinthspool
