#include "jacinthspool/impl/run_ledger.h"

#include <doctest/doctest.h>

#include <iomanip>
#include <sstream>

namespace jacinthspool {
namespace {

const instant kStart{seconds(1000)};
const wall_time kStartWall{std::chrono::hours(500000)};

attempt_id Attempt(std::uint64_t counter, attempt_number number = 1) {
  return {.request = {.incarnation = 1, .counter = counter}, .attempt = number};
}

std::string TimedKey(wall_time created) {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(12) << created.time_since_epoch().count();
  const std::string digits = text.str();
  return digits.substr(0, 8) + "-" + digits.substr(8) + "-7abc-8def-0123456789ab";
}

run_key Booking(const std::string& key) {
  return {.team = "turnevo", .key = key, .repeatable = false};
}

run_ledger MakeLedger() { return run_ledger({.started = kStart, .started_wall = kStartWall}); }

TEST_CASE("an attempt starts at most once") {
  run_ledger ledger = MakeLedger();
  const instant now = kStart + seconds(1);
  SUBCASE("an attempt begins") {
    CHECK(ledger.Begin(now, Attempt(1), {}) == refusal_reason::kNone);
    CHECK(ledger.Seal(now, Attempt(1)) == run_state::kRunning);
    SUBCASE("a started attempt does not begin again") {
      CHECK(ledger.Begin(now, Attempt(1), {}) == refusal_reason::kDuplicate);
    }
    SUBCASE("sealing an ended attempt reports its final state") {
      ledger.End(now, Attempt(1), run_state::kFinished);
      CHECK(ledger.Seal(now, Attempt(1)) == run_state::kFinished);
      SUBCASE("after the retention period the state is unknown") {
        ledger.Expire(now + seconds(600));
        CHECK(ledger.size() == 0);
        CHECK(ledger.Seal(now, Attempt(1)) == run_state::kUnknown);
        CHECK(ledger.Seal(now, Attempt(2)) == run_state::kNotRun);
      }
    }
    SUBCASE("a start that never reached the backend server is reverted") {
      ledger.Withdraw(now, Attempt(1));
      CHECK(ledger.Seal(now, Attempt(1)) == run_state::kNotRun);
      CHECK(ledger.Begin(now, Attempt(1), {}) == refusal_reason::kSealed);
    }
  }
  SUBCASE("a sealed attempt never begins") {
    CHECK(ledger.Seal(now, Attempt(1)) == run_state::kNotRun);
    CHECK(ledger.Begin(now, Attempt(1), {}) == refusal_reason::kSealed);
    CHECK(ledger.Begin(now, Attempt(1, 2), {}) == refusal_reason::kNone);
  }
}

TEST_CASE("a key starts at most once") {
  run_ledger ledger = MakeLedger();
  const instant later = kStart + seconds(601);
  SUBCASE("a started key is rejected within the incarnation") {
    REQUIRE(ledger.Begin(later, Attempt(1), Booking("hall-3")) == refusal_reason::kNone);
    CHECK(ledger.CheckKey(later, Attempt(2), Booking("hall-3")) == refusal_reason::kDuplicate);
    CHECK(ledger.Begin(later, Attempt(1, 2), Booking("hall-3")) == refusal_reason::kDuplicate);
    SUBCASE("the same key of another team is accepted") {
      const run_key other = {.team = "lumanara", .key = "hall-3", .repeatable = false};
      CHECK(ledger.Begin(later, Attempt(3), other) == refusal_reason::kNone);
    }
    SUBCASE("the key is rejected after its end until the retention expires") {
      ledger.End(later, Attempt(1), run_state::kFinished);
      ledger.Expire(later + seconds(599));
      CHECK(ledger.CheckKey(later, Attempt(2), Booking("hall-3")) == refusal_reason::kDuplicate);
    }
    SUBCASE("the key is accepted again when the run is proven not to have happened") {
      ledger.End(later, Attempt(1), run_state::kNotRun);
      CHECK(ledger.Begin(later, Attempt(2), Booking("hall-3")) == refusal_reason::kNone);
    }
  }
  SUBCASE("an idempotent request may start another attempt with its key") {
    const run_key lookup = {.team = "turnevo", .key = "k"};
    REQUIRE(ledger.Begin(later, Attempt(1), lookup) == refusal_reason::kNone);
    CHECK(ledger.Begin(later, Attempt(1, 2), lookup) == refusal_reason::kNone);
    CHECK(ledger.Begin(later, Attempt(2), lookup) == refusal_reason::kDuplicate);
  }
  SUBCASE("a key that an earlier incarnation may have run is rejected") {
    const instant now = kStart + seconds(20);
    CHECK(ledger.CheckKey(now, Attempt(1), Booking("hall-3")) == refusal_reason::kKeyMayHaveRun);
    CHECK(ledger.TimeUntilKeysAccepted(now) == seconds(580));
    CHECK(ledger.CheckKey(now, Attempt(1), Booking(TimedKey(kStartWall - seconds(1)))) ==
          refusal_reason::kKeyMayHaveRun);
    CHECK(ledger.CheckKey(now, Attempt(1), Booking(TimedKey(kStartWall + seconds(4)))) ==
          refusal_reason::kKeyMayHaveRun);
    SUBCASE("a key created after the start is accepted") {
      const run_key key = Booking(TimedKey(kStartWall + seconds(10)));
      CHECK(ledger.CheckKey(now, Attempt(1), key) == refusal_reason::kNone);
    }
    SUBCASE("a key with a creation time in the future is rejected") {
      const run_key key = Booking(TimedKey(kStartWall + seconds(60)));
      CHECK(ledger.CheckKey(now, Attempt(1), key) == refusal_reason::kKeyMayHaveRun);
    }
  }
  SUBCASE("a key older than the retention is rejected, since its record may have expired") {
    const run_key key = Booking(TimedKey(kStartWall + seconds(10)));
    CHECK(ledger.CheckKey(kStart + seconds(606), Attempt(1), key) ==
          refusal_reason::kKeyMayHaveRun);
  }
}

TEST_CASE("only UUIDv7 keys have a creation time") {
  CHECK(CreationTimeOf(TimedKey(kStartWall)) == kStartWall);
  CHECK_FALSE(CreationTimeOf("order-77").has_value());
  CHECK_FALSE(CreationTimeOf("01234567-89ab-4abc-8def-0123456789ab").has_value());
  CHECK_FALSE(CreationTimeOf("01234567-89ab-7abc-8def-0123456789ax").has_value());
}

}  // namespace
}  // namespace jacinthspool
