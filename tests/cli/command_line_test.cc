#include "src/cli/command_line.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "src/cli/exit_code.h"
#include "src/cli/explain_command.h"
#include "src/cli/status_command.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_server.h"

namespace jacinthspool {
namespace {

/// Captures the output to a stream during the lifetime of this object.
class captured_stream {
 public:
  explicit captured_stream(std::ostream& stream) : stream_(stream) {
    previous_ = stream_.rdbuf(buffer_.rdbuf());
  }
  ~captured_stream() { stream_.rdbuf(previous_); }
  captured_stream(const captured_stream&) = delete;
  captured_stream& operator=(const captured_stream&) = delete;
  [[nodiscard]] std::string text() const { return buffer_.str(); }

 private:
  std::ostream& stream_;
  std::streambuf* previous_;
  std::ostringstream buffer_;
};

struct command_result {
  int code;
  std::string out;
  std::string error;
};

command_result Run(const std::vector<std::string>& arguments) {
  const captured_stream out(std::cout);
  const captured_stream error(std::cerr);
  const int code = RunCommandLine(arguments);
  return {code, out.text(), error.text()};
}

bool IsOneLine(const std::string& text) {
  return !text.empty() && text.find('\n') == text.size() - 1;
}

std::vector<std::string> ExampleFiles(const std::string& folder) {
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(
           std::filesystem::path(JACINTHSPOOL_EXAMPLES) / folder)) {
    if (entry.path().extension() == ".json") {
      files.push_back(entry.path().string());
    }
  }
  return files;
}

TEST_CASE("an invalid command line prints one line and returns the usage code") {
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{{},
                                             {"bogus"},
                                             {"--bogus"},
                                             {"entry"},
                                             {"entry", "--bogus"},
                                             {"entry", "--config"},
                                             {"agent", "--config", "a", "b"},
                                             {"check"},
                                             {"check", "--bogus", "file"},
                                             {"check", "--kind", "bogus", "file"},
                                             {"status"},
                                             {"status", "not-an-address"},
                                             {"explain", "file"},
                                             {"explain", "file", "not-an-id"}}) {
    const command_result result = Run(arguments);
    CAPTURE(result.error);
    CHECK(result.code == kExitUsage);
    CHECK(IsOneLine(result.error));
    CHECK(result.error.find("--help") != std::string::npos);
  }
}

TEST_CASE("help and version are printed") {
  CHECK(Run({"--version"}).out.starts_with("jacinthspool "));
  const command_result help = Run({"--help"});
  CHECK(help.code == kExitOk);
  for (const std::string command :
       {"entry", "agent", "gateway", "sidecar", "check", "status", "explain"}) {
    CHECK(help.out.find(command) != std::string::npos);
    const command_result own = Run({command, "--help"});
    CHECK(own.code == kExitOk);
    CHECK(own.out.find("Exit code") != std::string::npos);
  }
}

TEST_CASE("a daemon does not start with a faulty file") {
  const command_result missing = Run({"entry", "--config", "/nonexistent/entry.json"});
  CHECK(missing.code == kExitCannotStart);
  CHECK(IsOneLine(missing.error));
  const command_result wrong_role =
      Run({"agent", "--config", std::string(JACINTHSPOOL_EXAMPLES) + "/turnevo/entry.json"});
  CHECK(wrong_role.code == kExitCannotStart);
  CHECK(wrong_role.error.find("backend: is missing") != std::string::npos);
}

TEST_CASE("a daemon does not start on an address in use") {
  event_loop loop;
  std::string error;
  const auto busy = http_server::Listen(
      {.loop = loop, .address = "127.0.0.1:0", .on_request = [](const auto&) {}}, error);
  REQUIRE(busy);
  const std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                       ("jacinthspool-cli-test-" + std::to_string(getpid()));
  std::filesystem::create_directory(folder);
  const std::string config = folder / "entry.json";
  const std::string keys = folder / "keys";
  std::ofstream(keys) << std::string(64, 'a') << '\n';
  std::ofstream(config) << R"({"name": "e", "data_centre": "s", "listen": "127.0.0.1:)"
                        << busy->port() << R"(", "key_file": ")" << keys << R"("})";
  CHECK(Run({"entry", "--config", config}).code == kExitCannotStart);
  std::filesystem::remove_all(folder);
}

TEST_CASE("check prints every finding") {
  SUBCASE("the examples have no findings") {
    for (const std::string folder : {"turnevo", "lumanara", "."}) {
      std::vector<std::string> arguments = ExampleFiles(folder);
      REQUIRE(!arguments.empty());
      arguments.insert(arguments.begin(), "check");
      const command_result result = Run(arguments);
      CHECK_MESSAGE(result.code == kExitOk, result.out);
      CHECK(result.out.empty());
    }
  }
  SUBCASE("an unreadable file does not prevent checks of the others") {
    const command_result result =
        Run({"check", "/nonexistent", std::string(JACINTHSPOOL_EXAMPLES) + "/one-file.json",
             "--kind", "team"});
    CHECK(result.code == kExitFailed);
    CHECK(IsOneLine(result.error));
    CHECK(result.out.find("one-file.json:listen: is not a known setting") != std::string::npos);
  }
}

TEST_CASE("explain prints the decisions about one request in chronological order") {
  std::istringstream log(
      R"({"time":"2","process":"e1","event":"decision","decision":"route","request":"a-1","attempt":1,)"
      R"("team":"t","choice":"d1","reason":"it can start first","candidates":[)"
      R"({"backend":"d1","start_in_us":12000,"cached_tokens":2048},{"backend":"d22","refusal":"queue"}]})"
      "\nnot JSON a-1\n"
      R"({"time":"1","process":"e1","event":"accepted","request":"a-1","path":"/v1/completions"})"
      "\n"
      R"({"time":"3","process":"e1","event":"accepted","request":"a-11"})");
  std::ostringstream out;
  CHECK(ExplainRequest(log, {.incarnation = 10, .counter = 1}, out) == 2);
  CHECK(out.str() ==
        "request a-1 of team t\n"
        "1  e1  accepted\n"
        "    path = /v1/completions\n"
        "2  e1  route (attempt 1): d1 because it can start first\n"
        "    d1   can start in 12.0 ms, 2048 tokens cached\n"
        "    d22  refused: queue\n");

  SUBCASE("it fails when the log has no line of the request") {
    const command_result result =
        Run({"explain", std::string(JACINTHSPOOL_EXAMPLES) + "/one-file.json", "a-1"});
    CHECK(result.code == kExitFailed);
    CHECK(IsOneLine(result.error));
    CHECK(Run({"explain", "/nonexistent", "a-1"}).code == kExitFailed);
  }
}

TEST_CASE("explain finds a request of a gateway by the id that the caller set") {
  std::istringstream log(
      R"({"time":"1","process":"g1","event":"attempt_failed","request":"615fdb27541a0777","backend":"i-1"})"
      "\n"
      R"({"time":"2","process":"g1","event":"request","request":"615fdb27541a0777","outcome":"cut"})");
  std::ostringstream out;
  CHECK(ExplainById(log, "615fdb27541a0777", out) == 2);
  CHECK(out.str().find("outcome = cut") != std::string::npos);
}

TEST_CASE("explain prints what gateways knew of a backend server's request limit") {
  std::istringstream log(
      R"({"time":"2","process":"g2","event":"backend_limit_named","request":"615fdb27541a0777","backend":"i-41ac49b1cc","limit_per_s":3})"
      "\n"
      R"({"time":"1","process":"g1","event":"backend_limit_named","request":"","backend":"i-41ac49b1cc","source":"peer"})"
      "\n"
      R"({"time":"3","process":"g1","event":"backend_put","backend":"i-41ac49b1cc"})");
  std::ostringstream out;
  CHECK(ExplainById(log, "i-41ac49b1cc", out) == 2);
  CHECK(out.str().starts_with("request limit of backend server i-41ac49b1cc\n1  g1"));
}

TEST_CASE("explain prints the orders to a backend server, and those that were withheld") {
  std::istringstream log(
      R"({"time":"2","process":"s1","event":"stage_ordered","backend":"i-41ac49b1cc","fence":19})"
      "\n"
      R"({"time":"1","process":"s1","event":"stage_order_withheld","backend":"i-41ac49b1cc","reason":"leaving"})"
      "\n"
      R"({"time":"3","process":"g1","event":"backend_put","backend":"i-41ac49b1cc"})");
  std::ostringstream out;
  CHECK(ExplainById(log, "i-41ac49b1cc", out) == 2);
  CHECK(
      out.str().starts_with("orders to backend server i-41ac49b1cc\n"
                            "1  s1  stage_order_withheld because leaving\n"));
  CHECK(out.str().find("fence = 19") != std::string::npos);
}

TEST_CASE("status prints values and lists") {
  std::ostringstream out;
  PrintStatus(
      nlohmann::json::parse(
          R"({"name": "e1", "settings": {"digest": 3, "of": [{"path": "operators"}]}, "up": true,
      "agents": [{"backend": "d1", "pieces": 12}, {"backend": "d2"}], "leaving": []})"),
      out);
  CHECK(out.str() ==
        "leaving          []\n"
        "name             e1\n"
        "settings.digest  3\n"
        "up               true\n"
        "\n"
        "agents:\n"
        "backend  pieces\n"
        "d1       12\n"
        "d2       -\n"
        "\n"
        "settings.of:\n"
        "path\n"
        "operators\n");

  SUBCASE("it fails when the address does not answer") {
    const command_result result = Run({"status", "127.0.0.1:1"});
    CHECK(result.code == kExitFailed);
    CHECK(IsOneLine(result.error));
  }
}

}  // namespace
}  // namespace jacinthspool
