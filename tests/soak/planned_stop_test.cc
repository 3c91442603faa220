// A gateway that is told to stop leaves no request without an answer.
#include <doctest/doctest.h>

#include <csignal>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/transport/http1_client.h"
#include "src/transport/http1_server.h"
#include "tests/process/child_process.h"
#include "tests/process/test_environment.h"
#include "tests/soak/store_standin.h"
#include "tests/transport/any_answer.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

constexpr seconds kGrace(2);
/// Longer than the answers of the plain service take, and shorter than the longest streams.
constexpr seconds kTimeout(14);
constexpr const char* kShortStream = "X-Model: m\r\nX-Token-Count: 300,10\r\nX-Length-Hint: 5\r\n";
constexpr const char* kLongStream =
    "X-Model: m\r\nX-Token-Count: 3000,2000\r\nX-Length-Hint: 1500\r\n";

/// One request of a caller, on a connection of its own.
struct stop_caller : http1_call_listener {
  std::unique_ptr<http1_call> call;
  int status = 0;
  std::optional<call_outcome> end;
  instant sent = timer_service::now();
  microseconds took{};
  std::string retry_after;

  head_action OnHead(const http1_head& head) override {
    status = head.status;
    retry_after = head.Find("Retry-After").value_or("");
    return head_action::kAccept;
  }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd(call_outcome how, const std::string& /*reason*/) override {
    end = how;
    took = timer_service::now() - sent;
  }
};

/// A real gateway, the store that it reads, a plain server and a decode engine.
struct stopping_gateway {
  test_environment environment;
  store_standin store{environment.loop(), environment.timers()};
  http1_client client{{.loop = environment.loop(), .timers = environment.timers()}};
  std::vector<std::pair<http1_request, std::shared_ptr<any_answer>>> runs;
  bool grants = true;  ///< The engine grants reservations.
  std::string error;
  std::unique_ptr<http1_server> plain = Listen();
  std::unique_ptr<http1_server> engine = Listen();
  std::string address = environment.FreeAddress();
  std::list<stop_caller> callers;
  std::unique_ptr<child_process> process;

  stopping_gateway() {
    const auto route = [](const char* prefix, const char* kind, const char* service) {
      return json{
          {"name", prefix}, {"host", "h"},        {"prefix", prefix},
          {"kind", kind},   {"attempts", 2},      {"timeoutMs", milliseconds(kTimeout).count()},
          {"goalMs", 300},  {"service", service}, {"resumable", kind == std::string("streaming")}};
    };
    store.Put(
        "op/config",
        json{{"version", 1},
             {"routes",
              {route("/once/", "non_idempotent", "plain"), route("/again/", "idempotent", "plain"),
               route("/stream/", "streaming", "model")}},
             {"services",
              {{{"name", "plain"}, {"maxConns", 100}},
               {{"name", "model"},
                {"engine",
                 {{"kvTokens", 60000}, {"kvHoldS", 0.5}, {"holdMs", 2000.0}, {"stride", 1}}}}}},
             {"limits",
              {{"maxHeaderBytes", 16384},
               {"maxBodyBytes", 1048576},
               {"headerTimeoutMs", 3000},
               {"idleTimeoutMs", 15000}}}}
            .dump());
    Publish("i-plain", "plain", *plain, "");
    Publish("i-engine", "model", *engine, "decode");
    const std::string settings =
        environment.WriteFile("gateway.json", json{{"name", "gateway-0"},
                                                   {"data_centre", "dc"},
                                                   {"listen", address},
                                                   {"peers", {environment.FreeAddress()}},
                                                   {"gateway",
                                                    {{"ready_listen", environment.FreeAddress()},
                                                     {"snapshot_listen", environment.FreeAddress()},
                                                     {"publisher", store.address()},
                                                     {"stop_grace_s", kGrace.count()}}}}
                                                  .dump());
    process = std::make_unique<child_process>(
        JACINTHSPOOL_BINARY, std::vector<std::string>{"gateway", "--config", settings},
        environment.PathOf("gateway.log"));
    REQUIRE(environment.WaitUntil([this] {
      const stop_caller& probe = Send("/unknown/");
      environment.WaitUntil([&] { return probe.end.has_value(); });
      return probe.status == 404;
    }));
  }

  std::unique_ptr<http1_server> Listen() {
    return http1_server::Listen(
        {.loop = environment.loop(),
         .timers = environment.timers(),
         .address = "127.0.0.1:0",
         .on_request =
             [this](http1_request request, http1_responder answer) {
               if (request.head.target == "/v1/hold-take") {
                 std::move(answer).Reply(grants ? 200 : 503, {}, grants ? "{\"hold\":\"1\"}" : "");
               } else if (request.head.target.starts_with("/v1/")) {
                 std::move(answer).Reply(200, {}, "");
               } else {
                 runs.emplace_back(std::move(request),
                                   std::make_shared<any_answer>(std::move(answer)));
               }
             }},
        error);
  }

  void Publish(const std::string& id, const char* service, const http1_server& server,
               const std::string& stage) {
    json entry = {{"service", service}, {"address", "127.0.0.1:" + std::to_string(server.port())},
                  {"zone", "dc"},       {"version", 1},
                  {"slots", 64},        {"state", "ready"},
                  {"coldLeftMs", 0},    {"seq", 1}};
    if (!stage.empty()) {
      entry["stage"] = stage;
    }
    store.Put("servers/" + id, entry.dump());
  }

  stop_caller& Send(const std::string& path, const std::string& headers = "",
                    const std::string& body = "body", std::size_t length = 4) {
    stop_caller& made = callers.emplace_back();
    made.call = client.Start(
        {.address = address,
         .bytes = "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r" +
                  std::to_string(callers.size()) + "\r\nX-Deadline-Ms: 13000\r\n" + headers +
                  "Content-Length: " + std::to_string(length) + "\r\n\r\n" + body,
         .new_connection = true},
        made);
    return made;
  }

  [[nodiscard]] http_headers Genuine(std::size_t number) const {
    return {
        {"X-Request-Id", std::string(runs.at(number).first.head.Find("X-Request-Id").value_or(""))},
        {"X-Server-Stamp", "stamp"}};
  }
  void AnswerRun(std::size_t number) {
    runs.at(number).second->Reply(200, Genuine(number), "answer");
  }

  bool HasRuns(std::size_t count) {
    return environment.WaitUntil([&] { return runs.size() >= count; });
  }
  void Stop() {
    process->Signal(SIGTERM);
    environment.Elapse(milliseconds(100));
  }
  void WaitForEnd() {
    REQUIRE(environment.WaitUntil([this] { return process->ExitCode().has_value(); },
                                  kGrace + seconds(1)));
    CHECK(process->ExitCode() == 0);
    environment.Elapse(milliseconds(50));
  }
};

TEST_CASE("a planned stop cuts no request that the gateway has read without an answer") {
  stopping_gateway system;

  SUBCASE("a request that waits for an engine is refused before the end") {
    system.grants = false;
    const stop_caller& waiting = system.Send("/stream/", kShortStream);
    system.environment.Elapse(milliseconds(200));
    system.Stop();
    system.WaitForEnd();
    CHECK(waiting.end == call_outcome::kWhole);
    CHECK(waiting.status == 503);
    CHECK(system.runs.empty());
  }

  SUBCASE("a request that runs to the end gets an answer that promises nothing") {
    const stop_caller& once = system.Send("/once/");
    const stop_caller& again = system.Send("/again/");
    REQUIRE(system.HasRuns(2));
    system.Stop();
    system.WaitForEnd();
    for (const stop_caller* each : {&once, &again}) {
      CHECK(each->end == call_outcome::kWhole);
      CHECK(each->status == 504);
    }
  }

  SUBCASE("a stream that runs to the end is visibly cut") {
    const stop_caller& stream = system.Send("/stream/", kLongStream);
    REQUIRE(system.HasRuns(1));
    any_answer& answer = *system.runs.front().second;
    answer.Begin(200, system.Genuine(0));
    answer.Send("id: 1\ndata: token\n\n");
    REQUIRE(system.environment.WaitUntil([&] { return stream.status == 200; }));
    system.Stop();
    system.WaitForEnd();
    CHECK(stream.end == call_outcome::kCut);
  }

  SUBCASE("a request that has been read in part is refused") {
    const stop_caller& partial = system.Send("/once/", "", "half", 8);
    system.environment.Elapse(milliseconds(100));
    system.Stop();
    system.WaitForEnd();
    CHECK(partial.end == call_outcome::kWhole);
    CHECK(partial.status == 503);
    CHECK(system.runs.empty());
  }
}

TEST_CASE("a request that cannot end before the planned stop is refused at once") {
  stopping_gateway system;
  system.Stop();

  SUBCASE("a long stream, which another gateway can serve") {
    const stop_caller& late = system.Send("/stream/", kLongStream);
    REQUIRE(system.environment.WaitUntil([&] { return late.end.has_value(); }, milliseconds(500)));
    CHECK(late.status == 503);
    CHECK(std::stod(late.retry_after) <= 0.1);
    CHECK(system.runs.empty());
  }

  SUBCASE("while a short request is served") {
    const stop_caller& late = system.Send("/once/");
    REQUIRE(system.HasRuns(1));
    system.AnswerRun(0);
    REQUIRE(system.environment.WaitUntil([&] { return late.end.has_value(); }, milliseconds(500)));
    CHECK(late.status == 200);
  }

  SUBCASE("and a server is told no later deadline than the end of the process") {
    system.Send("/once/");
    REQUIRE(system.HasRuns(1));
    const auto told = system.runs[0].first.head.Find("X-Deadline-Ms");
    REQUIRE(told.has_value());
    CHECK(std::stoi(std::string(*told)) <= milliseconds(kGrace).count());
    system.AnswerRun(0);
  }
  system.WaitForEnd();
}

TEST_CASE("a repeat that cannot end before the planned stop is not sent") {
  stopping_gateway system;
  system.Send("/again/");
  REQUIRE(system.HasRuns(1));
  system.Stop();
  system.environment.Elapse(milliseconds(1500));
  system.runs[0].second->Abort();
  system.WaitForEnd();
  CHECK(system.callers.back().status == 502);
  CHECK(system.runs.size() == 1);
}

}  // namespace
}  // namespace jacinthspool::testing
