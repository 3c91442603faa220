#include "src/gateway/snapshot.h"

#include <doctest/doctest.h>

#include "src/gateway/peer_exchange.h"
#include "tests/gateway/played_platform.h"

namespace jacinthspool {
namespace {

TEST_CASE("a snapshot comes back as it was told") {
  played_platform platform;
  platform.Configure();
  platform.AddBackend("model", engine_stage::kDecode);
  const gateway_snapshot told = platform.router.Snapshot();
  const auto read = DecodeSnapshot(EncodeSnapshot(told));
  REQUIRE(read);
  CHECK(read->configuration->version == 1);
  REQUIRE(read->configuration->routes.size() == told.configuration->routes.size());
  CHECK(read->configuration->routes[2].resumable);
  CHECK(read->configuration->routes[2].silence_limit == seconds(2));
  CHECK(read->configuration->services.at("model").engine->longest_hold == seconds(2));
  REQUIRE(read->backends.size() == 1);
  CHECK(read->backends[0].stage == engine_stage::kDecode);
  CHECK(read->list_position == told.list_position);

  SUBCASE("and bytes that are none are refused") {
    CHECK_FALSE(DecodeSnapshot(""));
    CHECK_FALSE(DecodeSnapshot("not a snapshot at all"));
    CHECK_FALSE(DecodeSnapshot(EncodeSnapshot(told).substr(0, 40)));
  }
}

TEST_CASE("a gateway that starts while the publisher is away learns from another") {
  played_platform knows;
  knows.Configure();
  knows.AddBackend("plain");
  played_platform starts;
  REQUIRE_FALSE(starts.router.able());
  starts.router.TakeSnapshot(knows.router.Snapshot());
  CHECK(starts.router.able());

  SUBCASE("and keeps its own list while the publisher answers it") {
    played_platform answered;
    answered.Configure();
    answered.router.OnPublisherBack();
    answered.router.OnBackends({}, 100);
    answered.router.TakeSnapshot(knows.router.Snapshot());
    CHECK(answered.router.Snapshot().backends.empty());
  }
}

TEST_CASE("the list of a later era wins, whatever its revision") {
  played_platform newer;
  newer.Configure();
  newer.router.OnBackends({{.id = "new", .service = "plain", .published = {2, 3}}}, {2, 3});
  played_platform older;
  older.Configure();
  older.router.OnBackends({{.id = "old", .service = "plain", .published = {1, 90}}}, {1, 90});
  older.router.OnPublisherLost("cut off");
  newer.router.OnPublisherLost("cut off");

  SUBCASE("in a gateway that was cut off in the older one") {
    older.router.TakeSnapshot(newer.router.Snapshot(older.router.Wanted()));
    const gateway_snapshot learnt = older.router.Snapshot();
    CHECK(learnt.list_position == history_position(2, 3));
    CHECK(learnt.backends.size() == 2);  // What the newer list lacks may come back for a while.
  }
  SUBCASE("and the older one is not even told to one that knows the newer") {
    const gateway_snapshot told = older.router.Snapshot(newer.router.Wanted());
    CHECK(told.list_position == history_position());
    newer.router.TakeSnapshot(older.router.Snapshot());
    CHECK(newer.router.Snapshot().list_position == history_position(2, 3));
  }
  SUBCASE("the question tells the era, and one without it is of the oldest") {
    const snapshot_scope wanted = newer.router.Wanted();
    REQUIRE(ScopeOf(SnapshotTarget(wanted)));
    CHECK(ScopeOf(SnapshotTarget(wanted))->list_after == history_position(2, 3));
    CHECK(ScopeOf("/jacinthspool/snapshot?list=7")->list_after == history_position(7));
  }
}

TEST_CASE("a gateway that has just started takes removals for lapses for a while") {
  played_platform platform;
  platform.Configure();
  played_backend& server = platform.AddBackend("plain");
  platform.router.OnPublisherBack();
  platform.router.OnBackendRemoved(server.id, ++platform.revision);
  CHECK(platform.router.Snapshot().backends.size() == 1);

  SUBCASE("and drops them when they do not come back") {
    CHECK(RunUntil(platform.loop, [&] { return platform.router.Snapshot().backends.empty(); }));
  }
}

}  // namespace
}  // namespace jacinthspool
