#include <doctest/doctest.h>

#include "tests/gateway/fake_platform.h"

namespace jacinthspool {
namespace {

struct kind_change {
  fake_platform platform;
  scripted_backend* first = nullptr;
  scripted_backend* second = nullptr;

  static forward_route Route(const char* prefix, request_kind kind, std::uint32_t attempts,
                             bool resumable = false) {
    return {.name = prefix,
            .host = "h",
            .prefix = prefix,
            .kind = kind,
            .max_attempts = attempts,
            .timeout = seconds(3),
            .latency_objective = seconds(1),
            .silence_limit = seconds(2),
            .targets = {{.service = "plain"}},
            .resumable = resumable};
  }
  void Apply(std::uint64_t version, std::vector<forward_route> routes) {
    auto made = std::make_shared<forward_configuration>();
    made->version = version;
    made->routes = std::move(routes);
    made->services["plain"] = {.name = "plain"};
    platform.router.OnConfiguration(std::move(made));
    if (version == 1) {
      platform.router.OnBackends({}, ++platform.revision);
      first = &platform.AddBackend("plain");
      second = &platform.AddBackend("plain");
    }
  }
  [[nodiscard]] std::size_t Arrivals() const {
    return first->requests.size() + second->requests.size();
  }
  void Arrives(fake_caller& caller) {
    REQUIRE(caller.Wait([&] { return Arrivals() == 1; }));
  }
  /// \returns The pending answer of the server that got the request.
  [[nodiscard]] any_answer& Answer() const {
    return first->answers.empty() ? *second->answers.front() : *first->answers.front();
  }
  void ServeTheNext() const { first->script = second->script = &scripted_backend::Serve; }
};

TEST_CASE("a request keeps the kind of the route that it met while the configuration changes") {
  kind_change fleet;
  SUBCASE("it must not run twice, and later requests may") {
    fleet.Apply(1, {kind_change::Route("/a/", request_kind::kNonIdempotent, 1)});
    fake_caller caller(fleet.platform);
    caller.Send("/a/b/");
    fleet.Arrives(caller);
    SUBCASE("by the same route") {
      fleet.Apply(2, {kind_change::Route("/a/", request_kind::kIdempotent, 3)});
    }
    SUBCASE("by a longer prefix") {
      fleet.Apply(2, {kind_change::Route("/a/", request_kind::kNonIdempotent, 1),
                      kind_change::Route("/a/b/", request_kind::kIdempotent, 3)});
    }
    SUBCASE("by a stream that may be resumed") {
      fleet.Apply(2, {kind_change::Route("/a/", request_kind::kStreaming, 3, true)});
    }
    fleet.ServeTheNext();
    fleet.Answer().Abort();
    CHECK(caller.Receives("HTTP/1.1 502"));
    CHECK(fleet.Arrivals() == 1);
  }
  SUBCASE("it may run again, and later requests must not") {
    fleet.Apply(1, {kind_change::Route("/a/", request_kind::kIdempotent, 3)});
    fake_caller caller(fleet.platform);
    caller.Send("/a/b/");
    fleet.Arrives(caller);
    fleet.Apply(2, {kind_change::Route("/a/", request_kind::kNonIdempotent, 1)});
    fleet.ServeTheNext();
    fleet.Answer().Abort();
    CHECK(caller.Receives("HTTP/1.1 200"));
    CHECK(fleet.Arrivals() == 2);
  }
}

TEST_CASE("the longer prefix decides whether a request may run again") {
  kind_change fleet;
  fleet.Apply(1, {kind_change::Route("/a/", request_kind::kIdempotent, 3),
                  kind_change::Route("/a/once/", request_kind::kNonIdempotent, 3)});
  fake_caller caller(fleet.platform);
  SUBCASE("it may not") {
    caller.Send("/a/once/b");
    fleet.Arrives(caller);
    fleet.ServeTheNext();
    fleet.Answer().Abort();
    CHECK(caller.Receives("HTTP/1.1 502"));
    CHECK(fleet.Arrivals() == 1);
  }
  SUBCASE("the shorter one has its own kind") {
    caller.Send("/a/other");
    fleet.Arrives(caller);
    fleet.ServeTheNext();
    fleet.Answer().Abort();
    CHECK(caller.Receives("HTTP/1.1 200"));
    CHECK(fleet.Arrivals() == 2);
  }
}

TEST_CASE("a stream that must not be resumed is cut although a newer route may resume it") {
  kind_change fleet;
  fleet.Apply(1, {kind_change::Route("/a/", request_kind::kStreaming, 3, false)});
  fake_caller caller(fleet.platform);
  caller.Send("/a/b/");
  fleet.Arrives(caller);
  const scripted_backend& server = fleet.first->answers.empty() ? *fleet.second : *fleet.first;
  fleet.Answer().Begin(200, scripted_backend::Genuine(server.requests.front()));
  fleet.Answer().Send(scripted_backend::Event(1));
  REQUIRE(caller.Receives("id: 1"));
  fleet.Apply(2, {kind_change::Route("/a/", request_kind::kStreaming, 3, true)});
  fleet.ServeTheNext();
  fleet.Answer().Abort();
  CHECK(caller.Wait([&] { return !caller.open; }));
  CHECK(caller.received.find("0\r\n\r\n") == std::string::npos);
  CHECK(fleet.Arrivals() == 1);
}

}  // namespace
}  // namespace jacinthspool
