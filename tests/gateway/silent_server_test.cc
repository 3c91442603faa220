#include <doctest/doctest.h>

#include <list>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/fake_platform.h"

namespace jacinthspool {
namespace {

constexpr int kEvents = 6;
constexpr milliseconds kEventInterval(40);
constexpr const char* kSizes = "X-Token-Count: 3000,100\r\nX-Length-Hint: 50\r\n";

/// \brief Point of an answer at which its server falls silent.
enum class stage { kBeforeHead, kBeforeFirstEvent, kMidStream, kInsideEvent, kBeforeEnd };

constexpr stage kStages[] = {stage::kBeforeHead, stage::kBeforeFirstEvent, stage::kMidStream,
                             stage::kInsideEvent, stage::kBeforeEnd};

/// \brief An answer that pauses once and then goes on to its end.
class pausing_answer {
 public:
  pausing_answer(timer_service& timers, const http1_request& request,
                 std::shared_ptr<any_answer> answer, bool pauses)
      : timers_(timers),
        answer_(std::move(answer)),
        headers_(scripted_backend::Genuine(request)),
        where_(static_cast<stage>(NumberIn(request, kStage, 0))),
        pause_(pauses ? NumberIn(request, kPause, 0) : 0),
        streams_(!request.head.target.starts_with("/again/")),
        next_(NumberIn(request, "Last-Event-Id", 0) + 1) {
    Step();
  }

  /// \brief Ends the pause.
  void GoOn() { Step(); }

  /// \returns Headers by which a caller asks for a pause.
  static std::string Headers(milliseconds pause, stage where) {
    return std::string(kPause) + ": " + std::to_string(pause.count()) + "\r\n" + kStage + ": " +
           std::to_string(static_cast<int>(where)) + "\r\n" + kSizes;
  }

 private:
  static constexpr const char* kPause = "Test-Pause-Ms";
  static constexpr const char* kStage = "Test-Stage";

  static int NumberIn(const http1_request& request, const char* header, int otherwise) {
    const auto text = request.head.Find(header);
    return text ? std::stoi(std::string(*text)) : otherwise;
  }

  void Step() {
    if (!streams_) {
      Later(pause_, [this] { answer_->Reply(200, headers_, "answer"); });
      return;
    }
    if (PausesAt(stage::kBeforeHead, next_ == 1)) {
      return;
    }
    if (!begun_) {
      begun_ = true;
      answer_->Begin(200, headers_);
    }
    if (PausesAt(stage::kBeforeFirstEvent, next_ == 1) ||
        PausesAt(stage::kMidStream, next_ == kEvents / 2) ||
        PausesAt(stage::kBeforeEnd, next_ > kEvents)) {
      return;
    }
    if (next_ > kEvents) {
      answer_->End();
      return;
    }
    std::string event = scripted_backend::Event(next_);
    if (where_ == stage::kInsideEvent && next_ == kEvents / 2 && pause_ > milliseconds(0)) {
      answer_->Send(event.substr(0, event.size() / 2));
      const milliseconds pause = std::exchange(pause_, milliseconds(0));
      Later(pause, [this, rest = event.substr(event.size() / 2)] {
        answer_->Send(rest);
        ++next_;
        Step();
      });
      return;
    }
    answer_->Send(event);
    ++next_;
    Later(kEventInterval, [this] { Step(); });
  }

  bool PausesAt(stage point, bool reached) {
    if (where_ != point || !reached || pause_ == milliseconds(0)) {
      return false;
    }
    Later(std::exchange(pause_, milliseconds(0)), [this] { Step(); });
    return true;
  }

  void Later(milliseconds delay, std::function<void()> action) {
    timer_ = timers_.After(delay, [action = std::move(action)](instant /*now*/) { action(); });
  }

  timer_service& timers_;
  std::shared_ptr<any_answer> answer_;
  http_headers headers_;
  stage where_;
  milliseconds pause_;
  bool streams_;
  int next_;  ///< Number of the next event.
  bool begun_ = false;
  timer_subscription timer_;
};

/// \brief Two engines and two plain servers, whose first answer to a request pauses as it asks.
struct pausing_servers : fake_platform {
  std::list<pausing_answer> answers;
  std::set<std::string> paths;  ///< Of the requests that have been run.
  std::vector<scripted_backend*> engines;
  std::vector<scripted_backend*> plain;
  std::vector<timer_subscription> slow_replies;
  milliseconds reservation_time{};  ///< Until an engine answers a reservation.
  int reservations = 0;
  int releases = 0;
  int runs = 0;
  bool denies = false;       ///< Engines reject reservations.
  http_headers notice = {};  ///< In the engines' rejections of reservations.

  pausing_servers() {
    Configure();
    for (int i = 0; i < 2; ++i) {
      engines.push_back(&AddBackend("model", engine_stage::kDecode));
      plain.push_back(&AddBackend("plain"));
      for (scripted_backend* server : {engines.back(), plain.back()}) {
        server->script = [this, server](const http1_request& request, any_answer& answer) {
          Handle(*server, request, answer);
        };
      }
    }
  }

  void Handle(scripted_backend& server, const http1_request& request, any_answer& answer) {
    if (request.head.target == "/v1/hold-take") {
      ++reservations;
      slow_replies.push_back(
          timers.After(reservation_time, [this, reply = server.answers.back()](instant /*now*/) {
            reply->Reply(denies ? 503 : 200, denies ? notice : http_headers(),
                         denies ? "{}" : R"({"hold":"room1"})");
          }));
    } else if (request.head.method == "DELETE") {
      ++releases;
      answer.Reply(200, {}, "");
    } else {
      ++runs;
      // Each caller's path is its own, so that a second attempt is known by it.
      answers.emplace_back(timers, request, server.answers.back(),
                           paths.insert(request.head.target).second);
    }
  }

  void ForbidRetries() {
    gateway_settings settings;
    settings.repeat_ratio = 0;
    settings.repeat_extra = 0;
    router.ApplySettings(settings);
  }

  void Leave(std::vector<scripted_backend*>& servers) {
    Publish(*servers.back(), servers == plain ? "plain" : "model",
            servers == plain ? engine_stage::kNone : engine_stage::kDecode, true);
  }

  void Run(milliseconds time) {
    const instant start = timer_service::now();
    RunUntil(loop, [&] { return timer_service::now() - start > time; });
  }
};

bool IsWhole(const fake_caller& caller) {
  std::size_t at = 0;
  for (int id = 1; id <= kEvents; ++id) {
    at = caller.received.find(scripted_backend::Event(id), at);
    if (at == std::string::npos) {
      return false;
    }
  }
  return caller.received.ends_with("0\r\n\r\n");
}

TEST_CASE("a server that pauses in an answer and goes on loses no caller's answer") {
  pausing_servers servers;
  bool frees = false;
  SUBCASE("while another server is free") { frees = true; }
  SUBCASE("while no other server has room") {}

  struct pausing_caller {
    std::string path;
    fake_caller caller;
  };
  std::list<pausing_caller> callers;
  for (const milliseconds pause :
       {milliseconds(300), milliseconds(1000), milliseconds(1500), milliseconds(2500)}) {
    for (const char* route : {"/stream/", "/brittle/"}) {
      for (const stage where : kStages) {
        const std::string path =
            route + std::to_string(pause.count()) + "-" + std::to_string(static_cast<int>(where));
        callers.push_back({.path = path, .caller = fake_caller(servers)});
        callers.back().caller.Send(path, pausing_answer::Headers(pause, where));
      }
    }
  }
  const auto all = static_cast<int>(callers.size());
  REQUIRE(RunUntil(servers.loop, [&] { return servers.runs >= all; }));
  servers.denies = !frees;
  for (pausing_caller& each : callers) {
    fake_caller& caller = each.caller;
    CAPTURE(each.path);
    CHECK(caller.Wait([&] { return IsWhole(caller) || !caller.open; }));
    CHECK(IsWhole(caller));
  }
}

TEST_CASE("a stream stays at its silent server when it cannot be moved") {
  pausing_servers servers;
  SUBCASE("because the other engine has no memory") {}
  SUBCASE("because the other engine is backing off") {
    servers.notice = {{"X-Server-Stamp", "stamp"}, {"Retry-After", "5"}};
  }
  SUBCASE("because the other engine has reached its request limit") {
    servers.notice = {{"X-Server-Stamp", "stamp"}, {"Server-Limit", "0"}};
  }
  SUBCASE("because the other engine leaves") { servers.Leave(servers.engines); }
  SUBCASE("because the retry budget is used up") { servers.ForbidRetries(); }
  fake_caller caller(servers);
  caller.Send("/stream/", pausing_answer::Headers(milliseconds(1800), stage::kMidStream));
  REQUIRE(caller.Receives(scripted_backend::Event(1)));
  servers.denies = true;
  CHECK(caller.Wait([&] { return IsWhole(caller) || !caller.open; }));
  CHECK(IsWhole(caller));
  CHECK(servers.runs == 1);
}

TEST_CASE("a replacement that is sought for a silent server") {
  pausing_servers servers;
  fake_caller caller(servers);

  SUBCASE("takes over the stream once another server has room") {
    caller.Send("/stream/", pausing_answer::Headers(seconds(20), stage::kMidStream));
    REQUIRE(caller.Receives(scripted_backend::Event(1)));
    servers.denies = true;
    servers.Run(milliseconds(1800));
    CHECK(servers.runs == 1);
    CHECK(caller.open);
    servers.denies = false;
    CHECK(caller.Wait([&] { return IsWhole(caller) || !caller.open; }));
    CHECK(servers.runs == 2);
  }
  SUBCASE("is given back when the server goes on first") {
    caller.Send("/stream/", pausing_answer::Headers(seconds(20), stage::kMidStream));
    REQUIRE(caller.Receives(scripted_backend::Event(1)));
    servers.reservation_time = milliseconds(180);
    REQUIRE(caller.Wait([&] { return servers.reservations == 2; }));
    servers.answers.front().GoOn();
    CHECK(caller.Wait([&] { return IsWhole(caller) || !caller.open; }));
    CHECK(servers.runs == 1);
    CHECK(RunUntil(servers.loop, [&] { return servers.releases == 1; }));
    CHECK(servers.reservations == 2);
  }
  CHECK(IsWhole(caller));
}

TEST_CASE("a configuration applied beside a silent server loses no caller's answer") {
  pausing_servers servers;
  const std::string pause = pausing_answer::Headers(milliseconds(1500), stage::kMidStream);
  const auto change = [&] {
    servers.Configure(seconds(5), 2);
    servers.router.OnConfiguration([&] {
      auto next = std::make_shared<forward_configuration>(
          *servers.router.Snapshot({.configuration_after = 0}).configuration);
      next->version = 3;
      for (forward_route& route : next->routes) {
        route.max_attempts = 3;
        route.latency_objective = milliseconds(100);
        route.silence_limit = seconds(1);
      }
      return next;
    }());
  };
  fake_caller caller(servers);
  SUBCASE("before the request") { change(); }
  SUBCASE("during the silence") {
    caller.Send("/stream/", pause);
    REQUIRE(caller.Receives(scripted_backend::Event(2)));
    servers.Run(milliseconds(600));
    servers.denies = true;
    change();
  }
  SUBCASE("after the silence") {
    caller.Send("/stream/", pause);
    REQUIRE(caller.Receives(scripted_backend::Event(2)));
    servers.denies = true;
    servers.Run(milliseconds(1550));
    change();
  }
  if (caller.received.empty()) {
    caller.Send("/stream/", pause);
    REQUIRE(caller.Receives(scripted_backend::Event(2)));
    servers.denies = true;
  }
  CHECK(caller.Wait([&] { return IsWhole(caller) || !caller.open; }));
  CHECK(IsWhole(caller));
}

TEST_CASE("a plain request at a silent server") {
  pausing_servers servers;
  SUBCASE("is answered by another server when one may be sent a retry") {}
  SUBCASE("is answered by the silent server when the other one leaves") {
    servers.Leave(servers.plain);
  }
  SUBCASE("is answered by the silent server when the retry budget is used up") {
    servers.ForbidRetries();
  }
  fake_caller caller(servers);
  caller.Send("/again/", pausing_answer::Headers(milliseconds(1000), stage::kBeforeHead));
  CHECK(caller.Receives("answer"));
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a long plain answer that keeps arriving is not truncated") {
  fake_platform platform;
  platform.Configure();
  const std::string piece(32U << 10U, 'x');
  constexpr std::size_t kPieces = 10;
  std::vector<timer_subscription> pace;
  std::size_t sent = 0;
  int runs = 0;
  for (int i = 0; i < 2; ++i) {
    scripted_backend& server = platform.AddBackend("plain");
    server.script = [&](const http1_request& request, any_answer& answer) {
      ++runs;
      answer.Begin(200, scripted_backend::Genuine(request));
      pace.push_back(platform.timers.Every(milliseconds(100), [&](instant) {
        answer.Send(piece);
        if (++sent == kPieces) {
          pace.clear();
          answer.End();
        }
      }));
    };
  }
  fake_caller caller(platform);
  caller.Send("/again/");
  CHECK(caller.Wait([&] { return caller.received.ends_with("0\r\n\r\n") || !caller.open; }));
  CHECK(caller.received.size() > kPieces * piece.size());
  CHECK(runs == 1);
}

}  // namespace
}  // namespace jacinthspool
