#include <doctest/doctest.h>

#include <algorithm>

#include "tests/gateway/fake_platform.h"
#include "tests/gateway/peered_gateways.h"

namespace jacinthspool {
namespace {

constexpr const char* kSizes = "X-Token-Count: 3000,100\r\nX-Length-Hint: 50\r\n";

/// \brief Answers the calls of a decode engine that has room for every request.
/// \param decode Called for each request to decode.
void ServeEngine(const http1_request& request, any_answer& answer,
                 const std::function<void(const http1_request&, any_answer&)>& decode) {
  if (request.head.target == "/v1/hold-take") {
    answer.Reply(200, {}, R"({"hold":"room1"})");
  } else if (request.head.method == "DELETE") {
    answer.Reply(200, {}, "");
  } else {
    decode(request, answer);
  }
}

void SendEvents(const http1_request& request, any_answer& answer, int first, int last) {
  answer.Begin(200, scripted_backend::Genuine(request));
  for (int id = first; id <= last; ++id) {
    answer.Send(scripted_backend::Event(id));
  }
}

TEST_CASE("a broken stream goes on within its answer only at the software version that began it") {
  fake_platform platform;
  platform.Configure();
  std::vector<std::string> begun;    ///< Versions that got the request from its beginning.
  std::vector<std::string> resumed;  ///< Versions that were to go on with it.
  const auto add = [&](engine_stage stage, const std::string& software) {
    platform.AddBackend("model", stage, software).script =
        [&, software](const http1_request& request, any_answer& answer) {
          ServeEngine(request, answer, [&](const http1_request& asked, any_answer& to) {
            if (asked.head.Find("Last-Event-Id")) {
              resumed.push_back(software);
              SendEvents(asked, to, 3, 4);
              to.End();
            } else {
              begun.push_back(software);
              SendEvents(asked, to, 1, 2);
              to.Abort();
            }
          });
        };
  };
  engine_stage stage = engine_stage::kNone;
  SUBCASE("at servers without reservations") {}
  SUBCASE("at engines that reserve memory") { stage = engine_stage::kDecode; }

  SUBCASE("which another server has") {
    for (const char* software : {"v1", "v1", "v2", "v2"}) {
      add(stage, software);
    }
    constexpr int kStreams = 20;
    for (int i = 0; i < kStreams; ++i) {
      fake_caller caller(platform);
      caller.Send("/stream/", kSizes);
      CHECK(caller.Receives("0\r\n\r\n"));
    }
    CHECK(resumed == begun);
  }
  SUBCASE("which no other server has: it is seen as truncated at once") {
    add(stage, "v1");
    add(stage, "v2");
    fake_caller caller(platform);
    const instant start = timer_service::now();
    caller.Send("/stream/", kSizes);
    CHECK(caller.Wait([&] { return !caller.open; }));
    CHECK(resumed.empty());
    CHECK(caller.received.find(scripted_backend::Event(2)) != std::string::npos);
    CHECK_FALSE(caller.received.ends_with("0\r\n\r\n"));
    CHECK(timer_service::now() - start < milliseconds(500));
  }
}

/// \brief Gateways before servers of two software versions, whose streams do not end.
struct two_versions : peered_gateways {
  std::vector<std::unique_ptr<scripted_backend>> servers;
  std::vector<backend_record> records;
  std::map<std::string, std::string> begun_at;                  ///< Version by id of the request.
  std::vector<std::pair<std::string, std::string>> resumed_at;  ///< Stream and version.
  std::size_t listed = 4;              ///< Servers that a gateway is told of when it starts.
  milliseconds timeout = seconds(10);  ///< Of the route.

  two_versions() {
    for (const char* software : {"v1", "v2", "v1", "v2"}) {
      const std::string id = "i-" + std::to_string(servers.size());
      servers.push_back(std::make_unique<scripted_backend>(loop, timers, id));
      records.push_back({.id = id,
                         .service = "model",
                         .software = software,
                         .address = servers.back()->address(),
                         .data_centre = "dc",
                         .slots = 64,
                         .published = servers.size()});
      servers.back()->script = [this, software = std::string(software)](
                                   const http1_request& request, any_answer& answer) {
        const std::string name(request.head.Find("X-Request-Id").value_or(""));
        if (request.head.Find("Last-Event-Id")) {
          resumed_at.emplace_back(request.head.Find("Resumes").value_or(""), software);
          SendEvents(request, answer, 3, 4);
          answer.End();
        } else {
          begun_at[name] = software;
          SendEvents(request, answer, 1, 2);
        }
      };
    }
  }

  void Publish(gateway& router) override {
    auto made = std::make_shared<forward_configuration>();
    made->version = 1;
    made->routes.push_back({.name = "stream",
                            .host = "h",
                            .prefix = "/stream/",
                            .kind = request_kind::kStreaming,
                            .max_attempts = 2,
                            .timeout = timeout,
                            .latency_objective = seconds(1),
                            .silence_limit = seconds(2),
                            .targets = {{.service = "model"}},
                            .resumable = true});
    made->services["model"] = {.name = "model"};
    if (listed == 0) {
      router.OnConfiguration(std::move(made));
      return;
    }
    peered_gateways::Publish(
        router, std::move(made),
        {records.begin(), records.begin() + static_cast<std::ptrdiff_t>(listed)}, listed);
  }

  /// \brief Lets the gateway begin streams, whose callers leave after the first events.
  /// \returns The ids of the requests.
  std::vector<std::string> Begin(std::size_t at, int streams) {
    std::map<int, int> ended;
    std::vector<std::string> ids;
    for (int i = 0; i < streams; ++i) {
      counted_call listener(ended);
      ids.push_back(members[at]->name + "." + std::to_string(sent));
      const auto call = Send(*members[at], "/stream/", kSizes, listener);
      RunUntil(loop, [&] { return listener.bytes > 0; });
    }
    Run(milliseconds(100));
    return ids;
  }

  /// \brief Takes streams up again at a gateway.
  void Resume(std::size_t at, const std::vector<std::string>& streams) {
    for (const std::string& stream : streams) {
      counted_call listener(statuses);
      const auto call =
          Send(*members[at], "/stream/",
               kSizes + ("Last-Event-Id: 2\r\nX-Deadline-Ms: 4000\r\nResumes: " + stream) + "\r\n",
               listener);
      RunUntil(loop, [&] { return listener.ended; });
    }
  }

  [[nodiscard]] std::ptrdiff_t MixedStreams() const {
    return std::count_if(resumed_at.begin(), resumed_at.end(),
                         [&](const auto& each) { return begun_at.at(each.first) != each.second; });
  }
};

TEST_CASE("a stream that its caller takes up again goes on only at the version that began it") {
  constexpr int kStreams = 20;
  two_versions fleet;
  fleet.Start(4);
  fleet.Run(milliseconds(500));

  SUBCASE("at the gateway that began it") {
    fleet.Resume(3, fleet.Begin(3, kStreams));
    CHECK(fleet.MixedStreams() == 0);
    CHECK(fleet.statuses[200] == kStreams);
  }
  SUBCASE("at another gateway") {
    fleet.Resume(1, fleet.Begin(3, kStreams));
    CHECK(fleet.MixedStreams() == 0);
    CHECK(fleet.statuses[200] == kStreams);
  }
  SUBCASE("after the gateway that began it was killed") {
    const auto streams = fleet.Begin(0, kStreams);
    fleet.members[0].reset();
    fleet.Restart(0);
    fleet.Run(milliseconds(500));
    fleet.Resume(0, streams);
    fleet.Resume(2, streams);
    CHECK(fleet.MixedStreams() == 0);
    CHECK(fleet.statuses[200] == 2 * kStreams);
  }
}

TEST_CASE(
    "a stream whose first version nobody knows does not go on, and its caller learns it at once") {
  two_versions fleet;
  fleet.Start(3);
  fleet.Run(milliseconds(500));
  const instant start = timer_service::now();
  fleet.Resume(0, {"never-begun"});
  CHECK(fleet.statuses[503] == 1);
  CHECK(fleet.resumed_at.empty());
  CHECK(timer_service::now() - start < milliseconds(500));
}

// ORDER: a gateway that was out of step took its old list for proof that there was one version.
TEST_CASE("a stream of a version that a gateway has not heard of does not go on there") {
  constexpr int kStreams = 8;
  two_versions fleet;
  fleet.timeout = milliseconds(500);
  fleet.listed = 1;
  fleet.Start(2);
  // Twice the timeout: no older stream is taken up again.
  fleet.Run(milliseconds(1200));
  const std::string address = fleet.seeds[1];
  std::string error;

  SUBCASE("after it was cut off while servers of that version joined") {
    gateway& out_of_step = fleet.members[1]->router;
    REQUIRE(out_of_step.streams().Open("127.0.0.1:0", error));
    fleet.members[0]->router.OnBackendPut(fleet.records[1]);
    const auto streams = fleet.Begin(0, kStreams);
    SUBCASE("and the gateway that began the stream has just started again") {
      fleet.listed = 0;
      fleet.members[0].reset();
      fleet.Restart(0);
    }
    SUBCASE("and is so still") { fleet.members[0].reset(); }
    REQUIRE(out_of_step.streams().Open(address, error));
    fleet.Resume(1, streams);
    CHECK(fleet.MixedStreams() == 0);
    CHECK(fleet.statuses[503] == kStreams);
  }
  SUBCASE("but one of the only version does, once its list has been confirmed since") {
    gateway& asked = fleet.members[1]->router;
    const timer_subscription answers =
        fleet.timers.Every(milliseconds(20), [&](instant now) { asked.OnBackendsConfirmed(now); });
    fleet.members[0].reset();
    fleet.Resume(1, {"forgotten-1", "forgotten-2"});
    CHECK(fleet.statuses[200] == 2);
  }
}

TEST_CASE("a stream that its caller does not name goes on while its service has one version") {
  fake_platform platform;
  platform.Configure();
  std::vector<std::string> resumed;
  for (const std::string software : {"v1", "v2"}) {
    platform.AddBackend("model", engine_stage::kNone, software).script =
        [&, software](const http1_request& request, any_answer& answer) {
          resumed.push_back(software);
          SendEvents(request, answer, 3, 4);
          answer.End();
        };
  }
  const auto resume = [&] {
    fake_caller caller(platform);
    caller.Send("/stream/", kSizes + std::string("Last-Event-Id: 2\r\n"));
    CHECK(caller.Wait([&] { return caller.received.find("\r\n\r\n") != std::string::npos; }));
    return caller.received.substr(0, caller.received.find("\r\n"));
  };
  CHECK(resume().starts_with("HTTP/1.1 503"));
  CHECK(resumed.empty());

  SUBCASE("and not until streams of the other one can no longer be taken up") {
    platform.router.OnPublisherRegained();
    platform.router.OnBackendRemoved("i-1", ++platform.revision);
    CHECK(resume().starts_with("HTTP/1.1 503"));
    CHECK(resumed.empty());
  }
}

TEST_CASE("a stream that its caller does not name goes on at a gateway that has just started") {
  fake_platform platform;
  platform.Configure();
  platform.AddBackend("model").script = [](const http1_request& request, any_answer& answer) {
    SendEvents(request, answer, 3, 4);
    answer.End();
  };
  fake_caller caller(platform);
  SUBCASE("as its service has one version") {
    caller.Send("/stream/", kSizes + std::string("Last-Event-Id: 2\r\n"));
    CHECK(caller.Receives("0\r\n\r\n"));
  }
  SUBCASE("but not one that is named, which others would remember") {
    caller.Send("/stream/", kSizes + std::string("Last-Event-Id: 2\r\nResumes: r0\r\n"));
    CHECK(caller.Receives("HTTP/1.1 503"));
  }
}

TEST_CASE("a stream of a split route goes on at the service that began it") {
  fake_platform platform;
  platform.Configure();
  auto split = std::make_shared<forward_configuration>(*platform.router.configuration());
  split->version = 2;
  for (forward_route& route : split->routes) {
    if (route.prefix == "/stream/") {
      route.max_attempts = 1;
      route.targets = {{.service = "model", .weight = 1}, {.service = "plain", .weight = 1}};
    }
  }
  platform.router.OnConfiguration(std::move(split));
  std::vector<std::string> begun;
  std::vector<std::string> resumed;
  for (const std::string service : {"model", "plain"}) {
    platform.AddBackend(service).script = [&, service](const http1_request& request,
                                                       any_answer& answer) {
      if (request.head.Find("Last-Event-Id")) {
        resumed.push_back(service);
        SendEvents(request, answer, 3, 4);
        answer.End();
      } else {
        begun.push_back(service);
        SendEvents(request, answer, 1, 2);
        answer.Abort();
      }
    };
  }
  const auto send = [&](const std::string& id, const std::string& headers) {
    fake_caller caller(platform);
    caller.socket.Write("POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n" +
                        headers + "X-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody");
    CHECK(caller.Wait([&] { return !caller.open || caller.received.ends_with("0\r\n\r\n"); }));
  };
  constexpr int kStreams = 12;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "first-" + std::to_string(i);
    send(id, kSizes);
    send("second-" + std::to_string(i), kSizes + ("Last-Event-Id: 2\r\nResumes: " + id) + "\r\n");
  }
  CHECK(begun.size() == kStreams);
  CHECK(resumed == begun);
}

}  // namespace
}  // namespace jacinthspool
