#include "src/telemetry/log.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace jacinthspool {
namespace {

std::vector<nlohmann::json> Parsed(const std::string& path) {
  std::vector<nlohmann::json> lines;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(nlohmann::json::parse(line, nullptr, false));
  }
  return lines;
}

TEST_CASE("log lines are JSON") {
  std::string path = "/tmp/jacinthspool-log-XXXXXX";
  close(mkstemp(path.data()));
  OpenLog({.process = "e1", .file = path});

  SUBCASE("a line has time, level, process, event and the fields") {
    Log(log_level::kInfo, "decision", {{"choice", "d1"}, {"quote", 1.5}});
    const auto lines = Parsed(path);
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].at("event") == "decision");
    CHECK(lines[0].at("level") == "info");
    CHECK(lines[0].at("process") == "e1");
    CHECK(lines[0].at("choice") == "d1");
    CHECK(lines[0].at("quote") == 1.5);
    CHECK(lines[0].at("time").get<std::string>().size() ==
          std::string("2000-01-01T00:00:00.000000Z").size());
  }

  SUBCASE("a value may contain any character and stays on one line") {
    const std::string special =
        "quote \" backslash \\ line\nbreak\r tab\t %level %msg %% \x01 \u00e9";
    Log(log_level::kWarning, "e", {{"text", special}});
    Log(log_level::kError, "e", {{"text", "not UTF-8: \xFF\xFE"}});
    Log(log_level::kInfo, "e", "no object");
    const auto lines = Parsed(path);
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].at("text") == special);
    CHECK(lines[1].at("level") == "error");
    CHECK(lines[1].at("text").is_string());
    CHECK(lines[2].at("detail") == "no object");
  }

  SUBCASE("a line below the lowest level is not written") {
    Log(log_level::kDebug, "e", {});
    CHECK(Parsed(path).empty());
  }

  std::remove(path.c_str());
}

}  // namespace
}  // namespace jacinthspool
