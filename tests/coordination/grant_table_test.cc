#include "jacinthspool/impl/grant_table.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a grant is used once, by its attempt, in time") {
  const instant now{seconds(100)};
  const attempt_id attempt{.request = {.incarnation = 1, .counter = 1}, .attempt = 1};
  grant_table grants(7);
  const grant_id grant = grants.Issue(now, attempt, seconds(2));
  CHECK(grant.incarnation == 7);

  SUBCASE("a repeated request gets the same grant, alive for longer") {
    CHECK(grants.Issue(now + seconds(1), attempt, seconds(2)) == grant);
    CHECK(grants.ExpiryOf(attempt) == now + seconds(3));
    SUBCASE("and never for shorter") {
      grants.Issue(now + seconds(1), attempt, milliseconds(1));
      CHECK(grants.ExpiryOf(attempt) == now + seconds(3));
    }
  }
  SUBCASE("it is redeemed") {
    CHECK(grants.Redeem(now + seconds(1), attempt, grant));
    SUBCASE("but not twice") { CHECK_FALSE(grants.Redeem(now + seconds(1), attempt, grant)); }
  }
  SUBCASE("another attempt cannot use it") {
    CHECK_FALSE(grants.Redeem(now, {.request = attempt.request, .attempt = 2}, grant));
  }
  SUBCASE("another incarnation's number is worth nothing") {
    CHECK_FALSE(grants.Redeem(now, attempt, {.incarnation = 6, .counter = grant.counter}));
  }
  SUBCASE("it is worth nothing at its expiry") {
    CHECK(grants.next_expiry() == now + seconds(2));
    CHECK_FALSE(grants.Redeem(now + seconds(2), attempt, grant));
    CHECK(grants.Expire(now + seconds(2)) == std::vector<attempt_id>{attempt});
    CHECK(grants.size() == 0);
    SUBCASE("and the next one has a new number") {
      CHECK(grants.Issue(now + seconds(3), attempt, seconds(2)) != grant);
    }
  }
}

}  // namespace
}  // namespace jacinthspool
