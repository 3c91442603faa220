#include "jacinthspool/routing/crash_report.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace jacinthspool {
namespace {

constexpr std::uint64_t kSeed = 31;
const backend_incarnation kServer{"i-1", 7};

crash_report RandomReport(std::mt19937_64& random, std::size_t parts) {
  crash_report report{.server = kServer,
                      .sign = static_cast<end_sign>(random() % 5),
                      .ended = instant(seconds(100) + milliseconds(random() % 1000)),
                      .refuted = random() % 8 == 0};
  for (std::size_t i = random() % 4; i > 0; --i) {
    report.gateways.insert("g" + std::to_string(random() % 20));
  }
  for (std::size_t i = random() % parts; i > 0; --i) {
    report.suspects[random() % (2 * parts)] = {.known_good = random() % 2 == 0,
                                               .vouched_since = random() % 2 == 0};
  }
  return report;
}

crash_report MergeAll(const std::vector<crash_report>& reports) {
  crash_report merged = reports.front();
  for (const crash_report& each : reports) {
    Merge(merged, each);
  }
  return merged;
}

TEST_CASE("reports on one server merge to the same in any order, however often they are told") {
  std::mt19937_64 random(kSeed);
  for (const std::size_t parts : {4, 40, 200}) {
    for (int round = 0; round < 200; ++round) {
      std::vector<crash_report> reports;
      reports.reserve(8);
      for (int i = 0; i < 8; ++i) {
        reports.push_back(RandomReport(random, parts));
      }
      const crash_report merged = MergeAll(reports);
      CHECK(merged.suspects.size() <= crash_report::kMaxSuspects);
      CHECK(merged.gateways.size() <= crash_report::kMaxGateways);
      std::vector<crash_report> told = reports;
      told.insert(told.end(), reports.begin(), reports.begin() + 4);
      std::shuffle(told.begin(), told.end(), random);
      CHECK(MergeAll(told) == merged);

      SUBCASE("what is merged already changes nothing") {
        crash_report again = merged;
        CHECK_FALSE(Merge(again, merged));
        for (const crash_report& each : reports) {
          CHECK_FALSE(Merge(again, each));
        }
        CHECK(again == merged);
      }
      SUBCASE("groups that merge among themselves first come to the same") {
        crash_report left = MergeAll({reports.begin(), reports.begin() + 3});
        const crash_report right = MergeAll({reports.begin() + 3, reports.end()});
        Merge(left, right);
        CHECK(left == merged);
      }
    }
  }
}

TEST_CASE("a part that does not fit into one report stands in most others") {
  std::size_t kept = 0;
  constexpr std::size_t kReports = 200;
  for (std::size_t server = 0; server < kReports; ++server) {
    crash_report report{.server = {"i-" + std::to_string(server), 1}};
    crash_report heard = report;
    for (prompt_part part = 0; part < crash_report::kMaxSuspects + 16; ++part) {
      heard.suspects[part];
    }
    Merge(report, heard);
    kept += report.suspects.contains(3) ? 1 : 0;
  }
  CHECK(kept > kReports / 2);
}

}  // namespace
}  // namespace jacinthspool
