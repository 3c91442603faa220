#include "jacinthspool/routing/crash_causes.h"

#include <doctest/doctest.h>

#include <string>

namespace jacinthspool {
namespace {

constexpr prompt_part kCaller = 1;
constexpr prompt_part kBad = 2;
constexpr prompt_part kOther = 3;
constexpr prompt_part kSecondBad = 4;
const instant kNow(seconds(1000));

/// Servers that ended one after the other.
struct crash_history {
  crash_reports reports = {};
  crash_rules rules = {};

  crash_report& Add(microseconds ago, const std::map<crash_suspect, suspect_standing>& parts) {
    const backend_incarnation server{"i-" + std::to_string(reports.size()), 1};
    return reports[{server, 0}] = {.server = server,
                                   .sign = end_sign::kRefused,
                                   .ended = kNow - ago,
                                   .gateways = {"g0"},
                                   .suspects = parts};
  }
  [[nodiscard]] std::set<crash_suspect> Found() const {
    std::set<crash_suspect> found;
    for (const crash_cause& each : FindCrashCauses(reports, rules, kNow)) {
      found.insert(each.suspect);
    }
    return found;
  }
};

TEST_CASE("only the part that crashing requests do not share with sound ones is held") {
  crash_history history;
  const suspect_standing good{.known_good = true};
  history.Add(seconds(5), {{kCaller, good}, {kBad, {}}, {10, {}}});
  history.Add(seconds(4), {{kCaller, good}, {kBad, {}}, {11, {}}});
  CHECK(history.Found().empty());
  history.Add(seconds(3), {{kCaller, good}, {kBad, {}}, {kOther, {}}});
  CHECK(history.Found() == std::set<crash_suspect>{kBad});

  SUBCASE("however often servers end under requests of its caller") {
    for (prompt_part own = 50; own < 70; ++own) {
      history.Add(milliseconds(30 * own), {{kCaller, good}, {kBad, {}}, {own, {}}, {own + 50, {}}});
    }
    CHECK(history.Found() == std::set<crash_suspect>{kBad});
  }
  SUBCASE("a second part is found by the servers that the first does not explain") {
    for (const prompt_part own : {kOther, prompt_part{12}, prompt_part{20}}) {
      history.Add(milliseconds(75 * own), {{kCaller, good}, {kSecondBad, {}}, {own, {}}});
    }
    CHECK(history.Found() == std::set<crash_suspect>{kBad, kSecondBad});
  }
  SUBCASE("an answer to a request with it clears it") {
    for (auto& [key, report] : history.reports) {
      report.suspects[kBad].vouched_since = true;
    }
    CHECK(history.Found().empty());
  }
}

TEST_CASE("parts with the same evidence are held together until something separates them") {
  crash_history history;
  for (int i = 0; i < 3; ++i) {
    history.Add(seconds(5 - i), {{kBad, {}}, {kOther, {}}});
  }
  const auto found = FindCrashCauses(history.reports, history.rules, kNow);
  REQUIRE(found.size() == 2);
  CHECK(found[0].alike == std::set<crash_suspect>{kBad, kOther});
  history.Add(seconds(1), {{kBad, {}}});
  CHECK(history.Found() == std::set<crash_suspect>{kBad});
}

TEST_CASE("several parts that crash the same servers at the same time are all held") {
  crash_history history;
  for (int i = 0; i < 6; ++i) {
    history.Add(milliseconds(900 - 60 * i), {{kBad, {}}, {kOther, {}}, {kCaller, {true}}});
  }
  history.Add(milliseconds(100), {{kBad, {}}});
  CHECK(history.Found() == std::set<crash_suspect>{kBad, kOther});
  SUBCASE("but none to which answers are known") {
    history.Add(milliseconds(50), {{kOther, {.vouched_since = true}}});
    CHECK(history.Found() == std::set<crash_suspect>{kBad});
  }
}

TEST_CASE("servers that end together for another cause hold back nobody's prompts") {
  crash_history history;
  SUBCASE("one outage counts once, however many servers it ends") {
    for (int i = 0; i < 4; ++i) {
      history.Add(seconds(2) + milliseconds(20 * i), {{kBad, {}}});
    }
    CHECK(history.Found().empty());
    SUBCASE("but not without end") {
      history.Add(seconds(2) + milliseconds(90), {{kBad, {}}});
      CHECK(history.Found() == std::set<crash_suspect>{kBad});
    }
  }
  SUBCASE("a part to which answers were known needs more outages") {
    for (int i = 0; i < 4; ++i) {
      for (int server = 0; server < 10; ++server) {
        history.Add(seconds(5 - i), {{kCaller, {.known_good = true}}});
      }
    }
    CHECK(history.Found().empty());
    history.Add(milliseconds(500), {{kCaller, {}}});
    CHECK(history.Found() == std::set<crash_suspect>{kCaller});
  }
  SUBCASE("a server counts once, though several signs of its end were seen") {
    for (std::uint32_t episode = 0; episode < 6; ++episode) {
      const backend_incarnation server{"i-1", 1};
      history.reports[{server, episode}] = {.server = server,
                                            .episode = episode,
                                            .sign = end_sign::kRefused,
                                            .ended = kNow - seconds(20 - 3 * episode),
                                            .gateways = {"g0"},
                                            .suspects = {{kBad, {}}}};
    }
    CHECK(history.Found().empty());
  }
}

TEST_CASE("a cut connection is no crash while another gateway could still hear the server") {
  crash_history history;
  crash_report& report = history.Add(milliseconds(100), {{kBad, {}}});
  CHECK(Counts(report, history.rules, kNow));
  report.sign = end_sign::kCut;
  CHECK_FALSE(Counts(report, history.rules, kNow));
  CHECK(Counts(report, history.rules, kNow + seconds(1)));
  SUBCASE("unless two gateways saw it") {
    report.gateways.insert("g1");
    CHECK(Counts(report, history.rules, kNow));
  }
  SUBCASE("an answer that seems to be complete without an event needs a second sign") {
    report.sign = end_sign::kClosed;
    CHECK_FALSE(Counts(report, history.rules, kNow + seconds(1)));
  }
  SUBCASE("a server that answers has not ended, whatever else was seen") {
    report.sign = end_sign::kRefused;
    report.refuted = true;
    CHECK_FALSE(Counts(report, history.rules, kNow + seconds(1)));
  }
}

}  // namespace
}  // namespace jacinthspool
