#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "src/gateway/snapshot_query.h"
#include "src/transport/http1_server.h"
#include "tests/process/relay.h"
#include "tests/transport/loop_until.h"

namespace jacinthspool {
namespace {

/// 10 Mbit/s, of which other traffic takes half.
constexpr std::size_t kBusyLink = 625'000;

/// \returns A snapshot of the largest configuration that the platform publishes.
std::string LargeSnapshot() {
  auto configuration = std::make_shared<forward_configuration>();
  configuration->version = 7;
  for (int i = 0; i < 5'000; ++i) {
    configuration->routes.push_back({.name = "route-" + std::to_string(i),
                                     .host = "exhibits.example",
                                     .prefix = "/p" + std::to_string(i) + "/",
                                     .timeout = seconds(14),
                                     .targets = {{.service = "model"}}});
  }
  gateway_snapshot snapshot;
  snapshot.configuration = configuration;
  return EncodeSnapshot(snapshot);
}

/// A query of a peer behind a slow link.
struct slow_peer_rig {
  event_loop loop;
  timer_service timers{loop};
  http1_client client{{.loop = loop, .timers = timers}};
  std::string error;
  std::string body = LargeSnapshot();
  std::unique_ptr<http1_server> peer = http1_server::Listen(
      {.loop = loop,
       .timers = timers,
       .address = "127.0.0.1:0",
       .on_request = [this](const http1_request& /*request*/,
                            http1_responder reply) { std::move(reply).Reply(200, {}, body); }},
      error);
  testing::relay link{loop, "127.0.0.1:0", "127.0.0.1:" + std::to_string(peer->port())};
  bool answered = false;
  std::optional<gateway_snapshot> answer;

  slow_peer_rig() { link.PaceReplies(kBusyLink); }

  std::unique_ptr<snapshot_query> Query() {
    return std::make_unique<snapshot_query>(
        snapshot_query::options{.timers = timers,
                                .client = client,
                                .address = link.address(),
                                .on_answer = [this](std::optional<gateway_snapshot> snapshot) {
                                  answered = true;
                                  answer = std::move(snapshot);
                                }});
  }
};

TEST_CASE("a peer's large snapshot is not given up while it arrives") {
  slow_peer_rig rig;
  const auto query = rig.Query();
  REQUIRE(RunUntil(rig.loop, [&] { return rig.answered; }));
  REQUIRE(rig.answer);
  CHECK(rig.answer->configuration->version == 7);
}

TEST_CASE("a peer's snapshot that falls silent is given up") {
  slow_peer_rig rig;
  const auto query = rig.Query();
  const auto stall =
      rig.timers.After(milliseconds(200), [&](instant /*now*/) { rig.link.StallReplies(); });
  const instant start = timer_service::now();
  REQUIRE(RunUntil(rig.loop, [&] { return rig.answered; }));
  CHECK_FALSE(rig.answer);
  CHECK(timer_service::now() - start < seconds(2));
}

}  // namespace
}  // namespace jacinthspool
