#include <doctest/doctest.h>

#include "tests/gateway/limited_fleet.h"

namespace jacinthspool {
namespace {

TEST_CASE("gateways together send a server no more requests than the limit that it names allows") {
  limited_fleet fleet(4);
  for (const auto& each : fleet.members) {
    fleet.SendEvery(*each, milliseconds(100));
  }
  fleet.Run(seconds(4));
  CHECK(fleet.arrivals > 100);

  fleet.State("3");
  fleet.Run(seconds(9));
  CHECK(fleet.violations == 0);
  CHECK(static_cast<double>(fleet.rule.highest()) <= fleet.rule.Allowed());

  SUBCASE("and they use it while callers wait") {
    const std::size_t before = fleet.arrivals;
    fleet.Run(seconds(8));
    CHECK(static_cast<double>(fleet.arrivals - before) >= 0.8 * 3 * 8);
    CHECK(static_cast<double>(fleet.arrivals - before) <= 1.5 * 3 * 8);
    CHECK(fleet.violations == 0);
  }
  SUBCASE("an unreadable limit leaves the one before in force") {
    for (const char* text : {"-4", "nan", "plenty"}) {
      fleet.stated = text;
      fleet.Run(seconds(1));
    }
    CHECK(fleet.violations == 0);
  }
  SUBCASE("when it ends, all callers are served again") {
    fleet.State("");
    fleet.Run(seconds(4));
    fleet.statuses.clear();
    fleet.Run(seconds(1));
    CHECK(fleet.statuses[200] >= 30);
    CHECK(fleet.statuses[503] == 0);
  }
}

TEST_CASE("a server's limit holds for a gateway that starts while it is in force") {
  limited_fleet fleet(3);
  for (const auto& each : fleet.members) {
    fleet.SendEvery(*each, milliseconds(100));
  }
  fleet.Run(seconds(4));
  fleet.State("4");
  fleet.Run(seconds(4));
  fleet.Join();
  fleet.SendEvery(*fleet.members.back(), milliseconds(50));
  fleet.Run(seconds(8));
  CHECK(fleet.violations == 0);
}

TEST_CASE("all calls to a limited decode engine count against its limit") {
  fake_platform platform;
  platform.Configure();
  std::size_t calls = 0;
  scripted_backend& engine = platform.AddBackend("model", engine_stage::kDecode);
  engine.script = [&](const http1_request& request, any_answer& answer) {
    ++calls;
    http_headers headers = scripted_backend::Genuine(request);
    headers.emplace_back("Server-Limit", "5");
    if (request.head.target == "/v1/hold-take") {
      answer.Reply(200, headers, R"({"hold":"room"})");
    } else if (request.head.method == "DELETE") {
      answer.Reply(200, headers, "");
    } else {
      answer.Begin(200, headers);
      answer.Send(scripted_backend::Event(1));
      answer.End();
    }
  };
  fake_caller first(platform);
  first.Send("/stream/", "X-Token-Count: 3000,100\r\n");
  REQUIRE(first.Receives("0\r\n\r\n"));

  std::vector<std::unique_ptr<fake_caller>> callers;
  const instant start = timer_service::now();
  const std::size_t before = calls;
  const auto arrivals = platform.timers.Every(milliseconds(100), [&](instant /*now*/) {
    callers.push_back(std::make_unique<fake_caller>(platform));
    callers.back()->Send("/stream/", "X-Token-Count: 3000,100\r\n");
  });
  RunUntil(platform.loop, [&] { return timer_service::now() - start > seconds(4); });
  CHECK(calls - before >= 10);
  CHECK(calls - before <= 25);
}

TEST_CASE("a repeat that waits for a request slot gets one at a server that it has not tried") {
  fake_platform platform;
  platform.Configure();
  bool first_fails = false;
  scripted_backend& first = platform.AddBackend("plain");
  scripted_backend& second = platform.AddBackend("plain");
  const auto serve = [](const http1_request& request, any_answer& answer) {
    http_headers headers = scripted_backend::Genuine(request);
    headers.emplace_back("Server-Limit", "4");
    answer.Reply(200, headers, "answer");
  };
  second.script = serve;
  first.script = [&](const http1_request& request, any_answer& answer) {
    first_fails ? answer.Abort() : serve(request, answer);
  };
  while (first.requests.empty() || second.requests.empty()) {
    fake_caller known(platform);
    known.Send("/again/");
    REQUIRE(known.Receives("answer"));
  }
  first_fails = true;
  std::vector<std::unique_ptr<fake_caller>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(std::make_unique<fake_caller>(platform));
    callers.back()->Send("/again/");
  }
  const std::size_t failed_before = first.requests.size();
  int served = 0;
  for (const auto& each : callers) {
    served += each->Receives("answer") ? 1 : 0;
  }
  CHECK(first.requests.size() > failed_before);
  CHECK(served == 8);
}

}  // namespace
}  // namespace jacinthspool
