#ifndef JACINTHSPOOL_IMPL_WHOLE_NUMBER_H_
#define JACINTHSPOOL_IMPL_WHOLE_NUMBER_H_

#include <cmath>
#include <cstdint>
#include <optional>

namespace jacinthspool {

/// \brief Reads a whole number that was written as a fraction or with an exponent, such as 8.0 and
/// 1e3.
/// \returns Nothing for fractions, negative numbers, and those that a double may have rounded.
[[nodiscard]] inline std::optional<std::uint64_t> WholeNumber(double value) {
  constexpr double kFirstInexact = 9007199254740992.0;  // 2^53
  if (!(value >= 0 && value < kFirstInexact) || value != std::floor(value)) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(value);
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_WHOLE_NUMBER_H_
