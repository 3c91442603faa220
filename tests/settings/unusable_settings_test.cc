#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "src/settings/settings.h"

namespace jacinthspool {
namespace {

struct figure {
  std::string name;
  double initial;  ///< Its default.
  double fallback;
  std::function<double(const gateway_settings&)> read;
};

std::vector<figure> Figures() {
  return {
      {"repeat_ratio", 0.2, 0.2, [](const auto& from) { return from.repeat_ratio; }},
      {"repeat_window_s", 10, 10, [](const auto& from) { return from.repeat_window_s; }},
      {"repeat_extra", 50, 50, [](const auto& from) { return from.repeat_extra; }},
      {"stop_grace_s", 8, 8, [](const auto& from) { return from.stop_grace_s; }},
      {"change_bound_ms", 900, 900, [](const auto& from) { return from.change_bound_ms; }},
      {"heartbeat_ms", 1200, 1200, [](const auto& from) { return from.heartbeat_ms; }},
      // Keys that were taken away must not be accepted for longer than by default elsewhere.
      {"key_bound_ms", 0, 900, [](const auto& from) { return from.key_bound_ms; }},
      {"memory_limit_mb", 0, 0, [](const auto& from) { return from.memory_limit_mb; }},
  };
}

std::string Document(const std::string& member) {
  return R"({"name": "g", "data_centre": "d", "listen": "10.0.0.1:1", "gateway": {)" + member +
         R"("ready_listen": "10.0.0.1:2", "snapshot_listen": "10.0.0.1:3",)"
         R"("publisher": "10.0.0.2:1"}})";
}

/// \returns The number in force with that value, and whether the value was used.
std::pair<double, bool> Start(const figure& of, const std::string& value) {
  CAPTURE(of.name);
  CAPTURE(value);
  findings found;
  findings replaced;
  const std::string text = Document("\"" + of.name + "\": " + value + ",");
  const auto process = ParseProcess(text, "x.json", found, &replaced);
  REQUIRE(process);
  CHECK(found.empty());
  findings strict;
  CHECK((ParseProcess(text, "x.json", strict) != nullptr) == replaced.empty());
  CHECK(strict.size() == replaced.size());
  const double got = of.read(*process->gateway);
  if (!replaced.empty()) {
    REQUIRE(replaced.size() == 1);
    CHECK(replaced[0].place == "x.json:gateway." + of.name);
    CHECK(got == of.fallback);
  }
  return {got, replaced.empty()};
}

// RECOVER: a number of another kind kept every gateway from starting.
TEST_CASE("no number that the platform fills in keeps a gateway from starting") {
  SUBCASE("fractions, exponents and whole numbers written as fractions are used") {
    for (const figure& each : Figures()) {
      const bool ratio = each.name == "repeat_ratio";
      CHECK(Start(each, ratio ? "0.75" : "7.5") == std::pair(ratio ? 0.75 : 7.5, true));
      CHECK(Start(each, ratio ? "1.0" : "8.0") == std::pair(ratio ? 1.0 : 8.0, true));
      CHECK(Start(each, ratio ? "1e-1" : "1e3") == std::pair(ratio ? 0.1 : 1000.0, true));
    }
  }
  SUBCASE("values of another type have the default") {
    for (const figure& each : Figures()) {
      for (const char* value :
           {"true", "false", "null", "\"8\"", "\"\"", "{}", R"({"a": [1]})", "[]", "[8]"}) {
        CHECK(Start(each, value) == std::pair(each.fallback, false));
      }
    }
  }
  SUBCASE("numbers out of range have the default") {
    for (const figure& each : Figures()) {
      for (const char* value : {"-1", "-0.5", "1e20", "9007199254740993", "1e300"}) {
        CHECK(Start(each, value) == std::pair(each.fallback, false));
      }
    }
  }
  SUBCASE("zero and numbers above 2^32 are used or have the default") {
    for (const figure& each : Figures()) {
      for (const char* value : {"0", "0.0", "-0.0", "4294967297"}) {
        (void)Start(each, value);
      }
    }
  }
  SUBCASE("one that is missing has the default") {
    findings found;
    const auto process = ParseProcess(Document(""), "x.json", found);
    REQUIRE(process);
    for (const figure& each : Figures()) {
      CHECK(each.read(*process->gateway) == each.initial);
    }
  }
}

TEST_CASE("faults of an earlier document are none of a later one") {
  findings found = {{.place = "earlier.json", .text = "is not JSON"}};
  CHECK(ParseProcess(Document(""), "x.json", found));
  CHECK(found.size() == 1);
}

TEST_CASE("no number keeps a sidecar from starting") {
  for (const char* value : {"23", "23.0", "2.35e1", "101", "-1", "null", "\"23\"", "{}"}) {
    CAPTURE(value);
    findings found;
    findings replaced;
    const auto process = ParseProcess(
        R"({"name": "s", "data_centre": "d", "sidecar": {"engine": "10.0.0.1:1", "service": "m",)"
        R"("prefill_percent": )" +
            std::string(value) + "}}",
        "x.json", found, &replaced);
    REQUIRE(process);
    CHECK(process->sidecar->prefill_percent == (value == std::string("2.35e1") ? 23.5 : 23));
  }
}

TEST_CASE("a setting without a safe default is still a fault") {
  for (const char* member : {"\"publisher\": 7,", "\"ready_listen\": null,", "\"unknown\": 1,"}) {
    std::string text = Document("");
    const std::string name = std::string(member).substr(0, std::string(member).find(':'));
    if (const std::size_t at = text.find(name); at != std::string::npos) {
      text.replace(at, text.find('"', text.find(':', at) + 3) + 1 - at,
                   std::string(member, std::string(member).size() - 1));
    } else {
      text = Document(member);
    }
    CAPTURE(text);
    findings found;
    findings replaced;
    CHECK_FALSE(ParseProcess(text, "x.json", found, &replaced));
    CHECK(found.size() == 1);
    CHECK(replaced.empty());
  }
}

}  // namespace
}  // namespace jacinthspool
