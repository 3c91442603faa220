#include "jacinthspool/routing/output_length_estimate.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace jacinthspool {
namespace {

constexpr std::uint64_t kSeed = 29;
constexpr std::uint64_t kMost = 1920;

TEST_CASE("the reserved tokens follow the length of answers, not the callers' expectations") {
  std::mt19937_64 random(kSeed);
  std::normal_distribution<double> spread(0, 0.7);
  std::normal_distribution<double> error(0, 0.5);
  output_length_estimate learnt({});
  int exceeded = 0;
  int exceeded_guess = 0;
  double total_reserved = 0;
  double total_guess = 0;
  constexpr int kAnswers = 2000;
  constexpr int kLearning = 500;
  for (int i = 0; i < kAnswers; ++i) {
    const double length = std::min(600 * std::exp(spread(random)), double{kMost});
    const auto guess = static_cast<std::uint64_t>(
        std::clamp(length * std::exp(error(random)), 1.0, double{kMost}));
    const auto produced = static_cast<std::uint64_t>(length);
    const std::uint64_t reserved = learnt.TokensToReserve("s", guess, kMost);
    CHECK(reserved <= kMost);
    if (i >= kLearning) {
      exceeded += produced > reserved ? 1 : 0;
      exceeded_guess += produced > guess ? 1 : 0;
      total_reserved += static_cast<double>(reserved);
      total_guess += static_cast<double>(guess);
    }
    learnt.Learn("s", guess, produced);
  }
  // Half as many answers exceed their reservation, for little more memory.
  CHECK(exceeded * 2 < exceeded_guess);
  CHECK(total_reserved < 1.45 * total_guess);

  SUBCASE("without recorded answers the caller's expectation is used") {
    CHECK(output_length_estimate({.margin = 0}).TokensToReserve("other", 500, kMost) == 500);
  }
}

}  // namespace
}  // namespace jacinthspool
