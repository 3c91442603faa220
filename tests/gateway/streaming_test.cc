#include <doctest/doctest.h>

#include <algorithm>

#include "tests/gateway/fake_platform.h"

namespace jacinthspool {
namespace {

constexpr const char* kSizes = "X-Token-Count: 3000,100\r\nX-Length-Hint: 50\r\n";

/// A prefill engine and two decode engines that accept every reservation.
struct fake_engines : fake_platform {
  std::vector<std::string> calls;  ///< Kinds of the requests to the engines, in order.
  bool denies = false;             ///< Decode engines reject reservations.
  std::function<void(const http1_request&, any_answer&)> decode;
  scripted_backend* prefill = nullptr;

  fake_engines() {
    Configure();
    prefill = &AddBackend("model", engine_stage::kPrefill);
    prefill->script = [this](const http1_request& request, any_answer& answer) {
      calls.push_back("prefill");
      CHECK(request.head.Find("X-Stage") == "prefill");
      answer.Reply(200, scripted_backend::Genuine(request), R"({"handle":"kv1","tokens":3000})");
    };
    for (int i = 0; i < 2; ++i) {
      AddBackend("model", engine_stage::kDecode).script = [this](const http1_request& request,
                                                                 any_answer& answer) {
        if (request.head.target == "/v1/hold-take") {
          calls.push_back("hold");
          answer.Reply(denies ? 503 : 200, {}, denies ? "{}" : R"({"hold":"room1"})");
        } else if (request.head.method == "DELETE") {
          calls.push_back("release");
          answer.Reply(200, {}, "");
        } else {
          calls.push_back("decode");
          decode(request, answer);
        }
      };
    }
  }
  [[nodiscard]] std::ptrdiff_t Count(const char* what) const {
    return std::count(calls.begin(), calls.end(), what);
  }
};

void ServeEvents(const http1_request& request, any_answer& answer, int first, int last) {
  answer.Begin(200, scripted_backend::Genuine(request));
  for (int id = first; id <= last; ++id) {
    answer.Send(scripted_backend::Event(id));
  }
}

TEST_CASE("a stream gets a reservation first, then its prompt is prefilled, then it decodes") {
  fake_engines engines;
  std::string source;
  engines.decode = [&](const http1_request& request, any_answer& answer) {
    source = std::string(request.head.Find("X-Kv-Source").value_or(""));
    CHECK(request.head.Find("X-Kv-Hold") == "room1");
    ServeEvents(request, answer, 1, 3);
    answer.End();
  };
  fake_caller caller(engines);
  caller.Send("/stream/", kSizes);
  REQUIRE(caller.Receives("0\r\n\r\n"));
  CHECK(engines.calls == std::vector<std::string>{"hold", "prefill", "decode"});
  CHECK(source == engines.prefill->address() + "/kv1");
  for (int id = 1; id <= 3; ++id) {
    CHECK(caller.received.find(scripted_backend::Event(id)) != std::string::npos);
  }
}

TEST_CASE("without a reservation no prompt is prefilled, and the request is rejected in time") {
  fake_engines engines;
  engines.denies = true;
  fake_caller caller(engines);
  const instant start = timer_service::now();
  caller.Send("/stream/", kSizes);
  REQUIRE(caller.Receives("Retry-After"));
  CHECK(caller.received.starts_with("HTTP/1.1 503"));
  CHECK(timer_service::now() - start < seconds(2));
  CHECK(engines.Count("prefill") == 0);
}

TEST_CASE("with many engines without free memory the request is rejected in time as well") {
  fake_engines engines;
  engines.denies = true;
  constexpr int kEngines = 60;
  // Trying all engines takes longer than the pause after a denial.
  constexpr milliseconds kAnswerTime(5);
  std::vector<timer_subscription> answers;
  for (int i = 0; i < kEngines; ++i) {
    scripted_backend& engine = engines.AddBackend("model", engine_stage::kDecode);
    engine.script = [&](const http1_request&, any_answer&) {
      answers.push_back(engines.timers.After(
          kAnswerTime,
          [answer = engine.answers.back()](instant) { answer->Reply(503, {}, "{}"); }));
    };
  }
  fake_caller caller(engines);
  const instant start = timer_service::now();
  caller.Send("/stream/", kSizes);
  REQUIRE(caller.Receives("Retry-After"));
  // Callers of the route abandon a silent stream after two seconds.
  CHECK(timer_service::now() - start < seconds(2));
}

TEST_CASE("prefill engines that reject everything do not exceed the retry budget") {
  fake_engines engines;
  engines.prefill->script = [&](const http1_request& request, any_answer& answer) {
    engines.calls.emplace_back("prefill");
    scripted_backend::Reject(request, answer);
  };
  engines.decode = [](const http1_request& request, any_answer& answer) {
    ServeEvents(request, answer, 1, 2);
    answer.End();
  };
  constexpr int kRequests = 150;
  for (int i = 0; i < kRequests; ++i) {
    fake_caller caller(engines);
    caller.Send("/stream/", kSizes);
    REQUIRE(caller.Receives("0\r\n\r\n"));
  }
  CHECK(engines.Count("decode") == kRequests);
  const forward_retry_budget::options budget;
  CHECK(engines.Count("prefill") > 0);
  CHECK(static_cast<double>(engines.Count("prefill")) <= budget.ratio * kRequests + budget.extra);
}

TEST_CASE("a truncated stream") {
  fake_engines engines;
  std::vector<std::string> resumed;
  engines.decode = [&](const http1_request& request, any_answer& answer) {
    resumed.emplace_back(request.head.Find("Last-Event-Id").value_or("none"));
    if (resumed.size() == 1) {
      ServeEvents(request, answer, 1, 2);
      answer.Send("id: 3\ndata: to");
      answer.Abort();
    } else {
      ServeEvents(request, answer, 3, 4);
      answer.End();
    }
  };
  fake_caller caller(engines);

  SUBCASE("is resumed elsewhere after its last complete event, within the same answer") {
    caller.Send("/stream/", kSizes);
    REQUIRE(caller.Receives("0\r\n\r\n"));
    CHECK(resumed == std::vector<std::string>{"none", "2"});
    std::size_t at = 0;
    for (int id = 1; id <= 4; ++id) {
      const std::size_t found = caller.received.find(scripted_backend::Event(id), at);
      CHECK(found != std::string::npos);
      at = found;
    }
    CHECK(caller.received.find("id: 3\ndata: toid") == std::string::npos);
  }
  SUBCASE("is seen as truncated by the caller when it must not be resumed") {
    caller.Send("/brittle/", kSizes);
    CHECK(caller.Wait([&] { return !caller.open; }));
    CHECK(caller.received.find(scripted_backend::Event(2)) != std::string::npos);
    CHECK(caller.received.find("0\r\n\r\n") == std::string::npos);
    CHECK(resumed.size() == 1);
  }
}

TEST_CASE("a stream without complete events is stalled, even if it sends bytes") {
  fake_engines engines;
  std::vector<timer_subscription> drips;
  std::string drip;
  int runs = 0;
  engines.decode = [&](const http1_request& request, any_answer& answer) {
    if (++runs > 1) {
      CHECK(request.head.Find("Last-Event-Id") == "2");
      ServeEvents(request, answer, 3, 4);
      answer.End();
      return;
    }
    ServeEvents(request, answer, 1, 2);
    drips.push_back(engines.timers.Every(milliseconds(100), [&](instant) { answer.Send(drip); }));
  };
  SUBCASE("a byte") { drip = "d"; }
  SUBCASE("comments") { drip = ": still here\n\n"; }
  fake_caller caller(engines);
  const instant start = timer_service::now();
  caller.Send("/stream/", kSizes);
  CHECK(caller.Receives(scripted_backend::Event(4)));
  CHECK(runs == 2);
  CHECK(timer_service::now() - start < milliseconds(2500));
}

TEST_CASE("a slow stream that makes progress is not truncated") {
  fake_engines engines;
  std::vector<timer_subscription> pace;
  int sent = 0;
  engines.decode = [&](const http1_request& request, any_answer& answer) {
    answer.Begin(200, scripted_backend::Genuine(request));
    pace.push_back(engines.timers.Every(milliseconds(500), [&](instant) {
      answer.Send(scripted_backend::Event(++sent));
      if (sent == 6) {
        pace.clear();
        answer.End();
      }
    }));
  };
  fake_caller caller(engines);
  caller.Send("/stream/", kSizes);
  CHECK(caller.Receives("0\r\n\r\n"));
  CHECK(engines.Count("decode") == 1);
  CHECK(sent == 6);
}

TEST_CASE("a truncated plain answer on a streaming route is never continued by another answer") {
  fake_engines engines;
  const std::string half(200U << 10U, 'x');
  engines.decode = [&](const http1_request& request, any_answer& answer) {
    if (engines.Count("decode") > 1) {
      ServeEvents(request, answer, 1, 2);
      answer.End();
      return;
    }
    answer.Begin(404, scripted_backend::Genuine(request));
    answer.Send(half);
    answer.Abort();
  };
  fake_caller caller(engines);
  caller.Send("/stream/", kSizes);
  CHECK(caller.Wait([&] { return !caller.open; }));
  CHECK(caller.received.starts_with("HTTP/1.1 404"));
  CHECK(engines.Count("decode") == 1);
  CHECK_FALSE(caller.received.ends_with("0\r\n\r\n"));
}

TEST_CASE("an engine that does not answer the release of a probe delays no request until its end") {
  fake_platform platform;
  platform.Configure();
  bool open = false;
  scripted_backend* granted = nullptr;
  for (int i = 0; i < 2; ++i) {
    scripted_backend& engine = platform.AddBackend("model", engine_stage::kDecode);
    engine.script = [&](const http1_request& request, any_answer& answer) {
      if (request.head.target == "/v1/hold-take") {
        granted = open && granted == nullptr ? &engine : granted;
        answer.Reply(open ? 200 : 503, {}, open ? R"({"hold":"room1"})" : "{}");
      } else if (request.head.method != "DELETE") {
        ServeEvents(request, answer, 1, 1);
        answer.End();
      } else if (&engine != granted) {
        answer.Reply(200, {}, "");
      }
    };
  }
  // Late requests probe for spare memory first.
  const auto opens = platform.timers.After(milliseconds(120), [&](instant) { open = true; });
  fake_caller caller(platform);
  const instant start = timer_service::now();
  caller.Send("/stream/", kSizes);
  CHECK(caller.Receives("0\r\n\r\n"));
  CHECK(timer_service::now() - start < seconds(2));
}

TEST_CASE("a caller that disconnects releases its reservation") {
  fake_engines engines;
  engines.prefill->script = [&](const http1_request&, any_answer&) {
    engines.calls.emplace_back("prefill");
  };
  fake_caller caller(engines);
  caller.Send("/stream/", kSizes);
  REQUIRE(caller.Wait([&] { return engines.Count("prefill") == 1; }));
  caller.socket.Close();
  CHECK(RunUntil(engines.loop, [&] { return engines.Count("release") == 1; }));
  CHECK(engines.prefill->callers_gone == 1);
}

TEST_CASE("a whole reply in place of the rest of a stream does not reach the caller") {
  struct whole_reply {
    int status;
    std::string body;
  };
  const whole_reply replies[] = {{404, "no such thing"},
                                 {409, "a conflict"},
                                 {204, ""},
                                 {201, "made"},
                                 {400, "not this one"},
                                 {500, "failed"},
                                 {302, "elsewhere"},
                                 {404, std::string(200000, 'x')},
                                 {201, std::string(200000, 'x')}};
  for (const whole_reply& reply : replies) {
    CAPTURE(reply.status);
    CAPTURE(reply.body.size());
    fake_engines engines;
    engines.decode = [&](const http1_request& request, any_answer& answer) {
      if (engines.Count("decode") == 1) {
        ServeEvents(request, answer, 1, 2);
        answer.Abort();
      } else {
        CHECK(request.head.Find("Last-Event-Id") == "2");
        answer.Reply(reply.status, scripted_backend::Genuine(request), reply.body);
      }
    };
    fake_caller caller(engines);
    caller.Send("/stream/", kSizes);
    CHECK(caller.Wait([&] { return !caller.open; }));
    CHECK(engines.Count("decode") == 2);
    // The stream looks cut: one head, the two events, no end and nothing of the other reply.
    const std::size_t body = caller.received.find("\r\n\r\n");
    REQUIRE(body != std::string::npos);
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
    std::string events;
    for (int id = 1; id <= 2; ++id) {
      events += scripted_backend::Event(id);
    }
    std::string rest = caller.received.substr(body + 4);
    std::string bytes;
    while (!rest.empty()) {
      const std::size_t size = std::stoul(rest, nullptr, 16);
      const std::size_t begin = rest.find("\r\n") + 2;
      CHECK(size > 0);
      REQUIRE(rest.size() >= begin + size + 2);
      bytes += rest.substr(begin, size);
      rest.erase(0, begin + size + 2);
    }
    CHECK(bytes == events);
  }
}

}  // namespace
}  // namespace jacinthspool
