#include "src/gateway/snapshot.h"

#include <doctest/doctest.h>

#include <limits>

#include "src/gateway/peer_exchange.h"
#include "tests/gateway/fake_platform.h"

namespace jacinthspool {
namespace {

TEST_CASE("a snapshot is decoded as it was encoded") {
  fake_platform platform;
  platform.Configure();
  platform.AddBackend("model", engine_stage::kDecode);
  const gateway_snapshot sent = platform.router.Snapshot();
  const auto decoded = DecodeSnapshot(EncodeSnapshot(sent));
  REQUIRE(decoded);
  CHECK(decoded->configuration->version == 1);
  REQUIRE(decoded->configuration->routes.size() == sent.configuration->routes.size());
  CHECK(decoded->configuration->routes[2].resumable);
  CHECK(decoded->configuration->routes[2].silence_limit == seconds(2));
  CHECK(decoded->configuration->services.at("model").engine->longest_hold == seconds(2));
  REQUIRE(decoded->backends.size() == 1);
  CHECK(decoded->backends[0].stage == engine_stage::kDecode);
  CHECK(decoded->backends[0].software == "v1");
  CHECK(decoded->list_position == sent.list_position);

  SUBCASE("invalid bytes are rejected") {
    CHECK_FALSE(DecodeSnapshot(""));
    CHECK_FALSE(DecodeSnapshot("not a snapshot at all"));
    CHECK_FALSE(DecodeSnapshot(EncodeSnapshot(sent).substr(0, 40)));
  }
}

TEST_CASE("a snapshot holds what is known of the pace of engines, in few bytes") {
  const instant now = timer_service::now();
  const std::size_t empty = EncodeSnapshot({}).size();
  gateway_snapshot sent;
  for (int i = 0; i < 16; ++i) {
    sent.paces.push_back({.server = {"model-engine-" + std::to_string(i), 1'700'000'000'000U}});
    for (std::uint32_t reporter = 1; reporter <= 3; ++reporter) {
      sent.paces.back().reports.push_back({.reporter = reporter,
                                           .number = 1'000'000U + reporter,
                                           .event_us = 41'000,
                                           .events = 12.5,
                                           .made = now - seconds(reporter)});
    }
  }
  const std::string bytes = EncodeSnapshot(sent);
  MESSAGE("16 servers of 3 reporters: ", bytes.size() - empty, " bytes");
  CHECK(bytes.size() - empty < 2500);
  const auto received = DecodeSnapshot(bytes);
  REQUIRE(received);
  REQUIRE(received->paces.size() == 16);
  CHECK(received->paces[3].server == sent.paces[3].server);
  REQUIRE(received->paces[3].reports.size() == 3);
  const pace_report& report = received->paces[3].reports[1];
  CHECK(report.reporter == 2);
  CHECK(report.number == 1'000'002);
  CHECK(report.event_us == doctest::Approx(41'000));
  CHECK(report.events == doctest::Approx(12.5));
  CHECK(std::chrono::abs(report.made - (now - seconds(2))) < seconds(1));
}

TEST_CASE("a snapshot holds the tenants of the configuration and its confirmation") {
  const instant now = timer_service::now();
  auto configuration = std::make_shared<forward_configuration>();
  configuration->version = 7;
  configuration->tenants = std::make_shared<const tenant_list>(
      tenant_list{.tenants = {{.name = "t1",
                               .keys = {DigestOfKey("k1"), DigestOfKey("k2")},
                               .priority = 2,
                               .limit = {.per_second = 10.5,
                                         .burst = 7,
                                         .unit = limit_unit::kTokens,
                                         .plain_tokens = 200}},
                              {.name = "t2", .keys = {DigestOfKey("k3")}}},
                  .unreadable = 3});
  gateway_snapshot sent;
  sent.configuration = configuration;
  sent.confirmed = configuration_confirmation{.version = 7, .as_of = now - seconds(2)};
  const std::string bytes = EncodeSnapshot(sent);
  const auto received = DecodeSnapshot(bytes);
  REQUIRE(received);
  REQUIRE(received->configuration);
  const tenant_list& tenants = *received->configuration->tenants;
  REQUIRE(tenants.tenants.size() == 2);
  CHECK(tenants.unreadable == 3);
  CHECK(tenants.tenants[0].keys == configuration->tenants->tenants[0].keys);
  CHECK(tenants.tenants[0].priority == 2);
  CHECK(tenants.tenants[0].limit == configuration->tenants->tenants[0].limit);
  CHECK_FALSE(tenants.tenants[1].priority);
  CHECK_FALSE(received->configuration->tenants_unknown);
  REQUIRE(received->confirmed);
  CHECK(received->confirmed->version == 7);
  CHECK(received->confirmed->as_of >= now - seconds(3));
  CHECK(received->confirmed->as_of <= timer_service::now() - seconds(2));
  CHECK(bytes.find("k1") == std::string::npos);
}

TEST_CASE("a snapshot holds the limits that servers have stated and the callers' request rates") {
  const instant now = timer_service::now();
  gateway_snapshot sent;
  sent.limits = {{.backend = "i-1", .started_ms = 7, .per_second = 2.5, .stated = now - seconds(3)},
                 {.backend = "i-2", .per_second = std::nullopt, .stated = now}};
  sent.fleet = {{.name = "g1", .request_rates = {{"plain", 12.5}}, .made = now - seconds(1)}};
  const auto decoded = DecodeSnapshot(EncodeSnapshot(sent));
  REQUIRE(decoded);
  REQUIRE(decoded->limits.size() == 2);
  CHECK(decoded->limits[0].per_second == 2.5);
  CHECK(decoded->limits[0].started_ms == 7);
  CHECK(timer_service::now() - decoded->limits[0].stated >= seconds(3));
  CHECK(timer_service::now() - decoded->limits[0].stated < seconds(4));
  CHECK_FALSE(decoded->limits[1].per_second);
  REQUIRE(decoded->fleet.size() == 1);
  CHECK(decoded->fleet[0].request_rates.at("plain") == 12.5);

  SUBCASE("a limit that is no valid number is left out") {
    sent.limits[0].per_second = -1;
    CHECK(DecodeSnapshot(EncodeSnapshot(sent))->limits.size() == 1);
    sent.limits[0].per_second = std::numeric_limits<double>::infinity();
    CHECK(DecodeSnapshot(EncodeSnapshot(sent))->limits.size() == 1);
  }
  SUBCASE("a gateway applies the limits of its peers") {
    fake_platform platform;
    platform.Configure();
    platform.router.ApplyFleet(*decoded);
    CHECK(platform.router.limited());
    // The reports of others are passed on only while a limit is in force.
    CHECK(platform.router.FleetSnapshot(gateway::fleet_scope::kAll).fleet.size() == 2);
    CHECK(platform.router.FleetSnapshot(gateway::fleet_scope::kOwn).fleet.size() == 1);
  }
}

TEST_CASE("what a peer passes on is checked before it is used") {
  const backend_record sound{.id = "i-1", .service = "s", .address = "10.0.0.1:80"};
  gateway_snapshot sent;
  sent.list_position = {1, 7};

  SUBCASE("a record that names no server to use is left out, the others stand") {
    for (const char* address : {"", "10.0.0.1:0", "10.0.0.1:70000", "nowhere:80", "10.0.0.1"}) {
      CAPTURE(address);
      sent.backends = {sound, {.id = "i-2", .service = "s", .address = address}, sound};
      const auto decoded = DecodeSnapshot(EncodeSnapshot(sent));
      REQUIRE(decoded);
      CHECK(decoded->backends.size() == 2);
      CHECK_FALSE(decoded->fault.empty());
    }
    sent.backends = {sound, {.id = "a\r\nb", .service = "s", .address = "10.0.0.1:80"}};
    CHECK(DecodeSnapshot(EncodeSnapshot(sent))->backends.size() == 1);
    sent.backends = {sound, sound};
    sent.backends[1].stage = static_cast<engine_stage>(9);
    CHECK(DecodeSnapshot(EncodeSnapshot(sent))->backends.size() == 1);
  }
  SUBCASE("a configuration out of range is left out, the list stands") {
    forward_configuration odd;
    SUBCASE("life of a KV handle") {
      odd.services["s"] = {
          .name = "s",
          .engine = engine_profile{.kv_handle_life = microseconds::max(), .longest_hold = {}}};
    }
    SUBCASE("negative hold") {
      odd.services["s"] = {
          .name = "s",
          .engine = engine_profile{.kv_handle_life = {}, .longest_hold = microseconds(-1)}};
    }
    SUBCASE("kind") { odd.routes = {{.kind = static_cast<request_kind>(9)}}; }
    SUBCASE("limits") { odd.limits.max_head_bytes = std::size_t{1} << 40U; }
    odd.version = 3;
    sent.configuration = std::make_shared<forward_configuration>(odd);
    sent.backends = {sound};
    const auto decoded = DecodeSnapshot(EncodeSnapshot(sent));
    REQUIRE(decoded);
    CHECK(decoded->configuration == nullptr);
    CHECK(decoded->backends.size() == 1);
    CHECK_FALSE(decoded->fault.empty());
  }
}

TEST_CASE("a gateway that starts while the publisher is unavailable applies a peer's snapshot") {
  fake_platform knows;
  knows.Configure();
  knows.AddBackend("plain");
  fake_platform starts;
  REQUIRE_FALSE(starts.router.can_route());
  starts.router.ApplySnapshot(knows.router.Snapshot());
  CHECK(starts.router.can_route());

  SUBCASE("a gateway whose publisher is available keeps its own list") {
    fake_platform answered;
    answered.Configure();
    answered.router.OnPublisherRegained();
    answered.router.OnBackends({}, 100);
    answered.router.ApplySnapshot(knows.router.Snapshot());
    CHECK(answered.router.Snapshot().backends.empty());
  }
}

TEST_CASE("the list of a later era is newer, whatever its revision") {
  fake_platform newer;
  newer.Configure();
  newer.router.OnBackends({{.id = "new", .service = "plain", .published = {2, 3}}}, {2, 3});
  fake_platform older;
  older.Configure();
  older.router.OnBackends({{.id = "old", .service = "plain", .published = {1, 90}}}, {1, 90});
  older.router.OnPublisherLost("cut off");
  newer.router.OnPublisherLost("cut off");

  SUBCASE("it replaces the list of a gateway without a publisher") {
    older.router.ApplySnapshot(newer.router.Snapshot(older.router.WantedScope()));
    const gateway_snapshot learnt = older.router.Snapshot();
    CHECK(learnt.list_position == store_position(2, 3));
    CHECK(learnt.backends.size() ==
          2);  // Servers missing from the newer list are kept for the grace period.
  }
  SUBCASE("the older list is not sent to a gateway that has the newer one") {
    const gateway_snapshot sent = older.router.Snapshot(newer.router.WantedScope());
    CHECK(sent.list_position == store_position());
    newer.router.ApplySnapshot(older.router.Snapshot());
    CHECK(newer.router.Snapshot().list_position == store_position(2, 3));
  }
  SUBCASE("a query has the era, and one without it is of the oldest era") {
    const snapshot_scope wanted = newer.router.WantedScope();
    REQUIRE(ScopeOf(SnapshotTarget(wanted)));
    CHECK(ScopeOf(SnapshotTarget(wanted))->list_after == store_position(2, 3));
    CHECK(ScopeOf("/jacinthspool/snapshot?list=7")->list_after == store_position(7));
  }
}

constexpr const char* kAddress = "10.0.0.1:80";

TEST_CASE("a gateway without the publisher drops a server whose removal a peer has seen") {
  fake_platform sees;
  fake_platform cut_off;
  for (fake_platform* each : {&sees, &cut_off}) {
    each->Configure();
    each->router.OnPublisherRegained();
    each->router.OnBackends(
        {{.id = "goes", .service = "plain", .address = kAddress, .published = 1},
         {.id = "stays", .service = "plain", .address = kAddress, .published = 2}},
        2);
  }
  // The grace period after the publisher's return ends.
  REQUIRE(RunUntil(sees.loop, [&, start = timer_service::now()] {
    return timer_service::now() - start > seconds(2);
  }));
  cut_off.router.OnPublisherLost("cut off");
  const auto ask = [&](fake_platform& peer) {
    const auto scope = ScopeOf(SnapshotTarget(cut_off.router.WantedScope()));
    REQUIRE(scope);
    cut_off.router.ApplySnapshot(*DecodeSnapshot(EncodeSnapshot(peer.router.Snapshot(*scope))));
  };
  const auto listed = [&] { return cut_off.router.Snapshot().backends; };

  SUBCASE("one that left without a word") {
    sees.router.OnBackendRemoved("goes", 5);
    ask(sees);
    REQUIRE(listed().size() == 1);
    CHECK(listed()[0].id == "stays");

    SUBCASE("and takes it back when it is published again") {
      sees.router.OnBackendPut(
          {.id = "goes", .service = "plain", .address = kAddress, .published = 6});
      ask(sees);
      CHECK(listed().size() == 2);
    }
  }
  SUBCASE("one that said that it leaves") {
    sees.router.OnBackendPut(
        {.id = "goes", .service = "plain", .address = kAddress, .leaving = true, .published = 4});
    sees.router.OnBackendRemoved("goes", 5);
    ask(sees);
    CHECK(listed().size() == 1);
  }
  SUBCASE("although another peer's list came first") {
    fake_platform lapsed;
    lapsed.Configure();
    lapsed.router.OnBackends(
        {{.id = "stays", .service = "plain", .address = kAddress, .published = 2}}, 5);
    ask(lapsed);
    CHECK(listed().size() == 2);
    sees.router.OnBackendRemoved("goes", 5);
    ask(sees);
    CHECK(listed().size() == 1);
  }
  SUBCASE("but keeps one whose entry lapsed while that peer was without the publisher, too") {
    sees.router.OnPublisherLost("cut off");
    sees.router.OnPublisherRegained();
    sees.router.OnBackends(
        {{.id = "stays", .service = "plain", .address = kAddress, .published = 2}}, 5);
    ask(sees);
    CHECK(listed().size() == 2);
  }
}

TEST_CASE("a gateway that has just started defers removals for the grace period") {
  fake_platform platform;
  platform.Configure();
  scripted_backend& server = platform.AddBackend("plain");
  platform.router.OnPublisherRegained();
  platform.router.OnBackendRemoved(server.id, ++platform.revision);
  CHECK(platform.router.Snapshot().backends.size() == 1);

  SUBCASE("servers that are not published again are dropped") {
    CHECK(RunUntil(platform.loop, [&] { return platform.router.Snapshot().backends.empty(); }));
  }
}

}  // namespace
}  // namespace jacinthspool
