#include "tests/soak/soak.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <sstream>

namespace jacinthspool::testing {
namespace {

/// What CI plays. No seed has failed for a fault of the product so far; one that does is added here
/// with a line on its cause.
constexpr std::uint64_t kSeeds[] = {1, 104};

void PlayAndCheck(const soak_options& options) {
  const soak_report report = PlaySoak(options);
  std::ostringstream text;
  text << "seed " << options.seed << ":";
  for (const auto& [outcome, count] : report.outcomes) {
    text << " " << outcome << "=" << count;
  }
  text << "; faults:";
  for (const auto& [fault, count] : report.faults) {
    text << " " << fault << "=" << count;
  }
  MESSAGE(text.str());
  for (const std::string& each : report.broken) {
    FAIL_CHECK("seed " << options.seed << ": " << each);
  }
  CHECK(report.outcomes.at("200") > 0);
}

TEST_CASE("gateways keep their promises under random faults") {
  for (const std::uint64_t seed : kSeeds) {
    PlayAndCheck({.seed = seed});
  }
}

/// By hand: SOAK_SEEDS="FIRST COUNT SECONDS GATEWAYS" plays more seeds, longer, with more
/// processes; SOAK_LOGS names a folder for the logs of seeds that fail.
TEST_CASE("more seeds, when asked for") {
  const char* asked = std::getenv("SOAK_SEEDS");
  if (asked == nullptr) {
    return;
  }
  const char* logs = std::getenv("SOAK_LOGS");
  std::istringstream text(asked);
  std::uint64_t first = 1;
  std::uint64_t count = 1;
  int length = 12;
  int gateways = 3;
  text >> first >> count >> length >> gateways;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    PlayAndCheck({.seed = seed,
                  .traffic = seconds(length),
                  .gateways = gateways,
                  .keep_logs = logs == nullptr ? "" : logs});
  }
}

}  // namespace
}  // namespace jacinthspool::testing
