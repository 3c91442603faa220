#include <doctest/doctest.h>

#include "jacinthspool/impl/drain.h"
#include "jacinthspool/impl/lease_clock.h"
#include "jacinthspool/impl/memory_ledger.h"
#include "jacinthspool/impl/prefix_view.h"
#include "jacinthspool/impl/reservation_plan.h"

namespace jacinthspool {
namespace {

const instant kNow{seconds(100)};

attempt_id Attempt(std::uint64_t counter) {
  return {.request = {.incarnation = 1, .counter = counter}, .attempt = 1};
}

TEST_CASE("pieces become free only after the engine has confirmed the release") {
  memory_ledger memory(10);
  memory.Grant(Attempt(1), 6);
  CHECK(memory.granted() == 6);
  CHECK(memory.free() == 10);
  SUBCASE("a reservation is withdrawn") {
    memory.Withdraw(Attempt(1));
    CHECK(memory.granted() == 0);
  }
  SUBCASE("a reservation is converted to held pieces") {
    REQUIRE(memory.Hold(Attempt(1)));
    CHECK(memory.free() == 4);
    SUBCASE("a second reservation that does not fit is not held") {
      memory.Grant(Attempt(2), 6);
      CHECK_FALSE(memory.Hold(Attempt(2)));
    }
    SUBCASE("a withdrawal does not free held pieces") {
      memory.Withdraw(Attempt(1));
      CHECK(memory.free() == 4);
    }
    SUBCASE("pieces being released count as held until confirmed") {
      memory.StartRelease(Attempt(1));
      CHECK(memory.releasing() == 6);
      CHECK(memory.free() == 4);
      memory.ConfirmReleased(Attempt(1));
      CHECK(memory.free() == 10);
      memory.ConfirmReleased(Attempt(1));
      CHECK(memory.free() == 10);
    }
    SUBCASE("a smaller total leaves nothing free") {
      memory.set_total(4);
      CHECK(memory.free() == 0);
    }
  }
}

TEST_CASE("the lease of a silent process expires") {
  lease_clock leases(seconds(4));
  leases.Renew(kNow, 1);
  leases.Renew(kNow, 2);
  leases.Renew(kNow + seconds(3), 1);
  CHECK(leases.Expire(kNow + seconds(4)) == std::vector<incarnation_id>{2});
  CHECK(leases.Holds(1));
  SUBCASE("a lease expires after a clock jump") {
    CHECK(leases.Expire(kNow + seconds(500)) == std::vector<incarnation_id>{1});
    CHECK_FALSE(leases.next_check().has_value());
  }
  SUBCASE("a shorter duration applies to current leases") {
    leases.set_lease(seconds(1));
    CHECK(leases.Expire(kNow + seconds(4)) == std::vector<incarnation_id>{1});
  }
}

TEST_CASE("a backend server is draining while any reason is set") {
  drain leaving;
  CHECK(leaving.Set(drain_reason::kVmList, true));
  CHECK_FALSE(leaving.Set(drain_reason::kSettings, true));
  CHECK_FALSE(leaving.Set(drain_reason::kVmList, false));
  CHECK(leaving.leaving());
  CHECK(leaving.Set(drain_reason::kSettings, false));
  SUBCASE("a planned stop cannot be revoked") {
    CHECK(leaving.Set(drain_reason::kPlannedStop, true));
    CHECK_FALSE(leaving.Set(drain_reason::kPlannedStop, false));
    CHECK(leaving.stopping());
    CHECK(leaving.leaving());
  }
}

TEST_CASE("reservations are planned from predicted releases") {
  const std::vector<predicted_release> releases = {{.at = kNow + seconds(3), .pieces = 4},
                                                   {.at = kNow + seconds(1), .pieces = 2}};
  const auto reservation = [](std::uint64_t counter, std::uint32_t pieces) {
    return pending_reservation{
        .id = Attempt(counter), .pieces = pieces, .earliest = kNow, .run_for = seconds(1)};
  };
  SUBCASE("a reservation that fits starts immediately") {
    CHECK(PlanReservations(kNow, {.free_pieces = 2, .free_slots = 1}, releases,
                           {reservation(1, 2)}) == std::vector<instant>{kNow});
  }
  SUBCASE("others wait in order, and started reservations release their memory") {
    CHECK(PlanReservations(kNow, {.free_pieces = 0, .free_slots = 8}, releases,
                           {reservation(1, 2), reservation(2, 2), reservation(3, 4)}) ==
          std::vector<instant>{kNow + seconds(1), kNow + seconds(2), kNow + seconds(3)});
  }
  SUBCASE("without a free batch slot free memory is not sufficient") {
    CHECK(PlanReservations(kNow, {.free_pieces = 9, .free_slots = 0}, releases,
                           {reservation(1, 2)}) == std::vector<instant>{kNow + seconds(1)});
  }
  SUBCASE("a reservation that never fits has no start time") {
    CHECK(PlanReservations(kNow, {.free_pieces = 1, .free_slots = 8}, releases,
                           {reservation(1, 50)}) == std::vector<instant>{instant::max()});
  }
}

TEST_CASE("the agent estimates the cached prefixes of the engine") {
  prefix_view prefixes(3);
  CHECK(prefixes.CachedTokens({1, 2}, 600) == 0);
  prefixes.RecordServed({1, 2}, 0);
  CHECK(prefixes.CachedTokens({1, 2, 3}, 600) == 512);
  CHECK(prefixes.CachedTokens({1, 2, 3}, 300) == 300);
  SUBCASE("an unknown block ends the matched prefix") {
    CHECK(prefixes.CachedTokens({9, 1, 2}, 600) == 0);
  }
  SUBCASE("least recently used blocks are evicted first, the tail before the head") {
    prefixes.RecordServed({7, 8}, 0);
    CHECK(prefixes.CachedTokens({7, 8}, 600) == 512);
    CHECK(prefixes.CachedTokens({1, 2}, 600) == 256);
  }
}

}  // namespace
}  // namespace jacinthspool
