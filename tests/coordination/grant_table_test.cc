#include "jacinthspool/impl/grant_table.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a grant can be redeemed once, by its attempt, before it expires") {
  const instant now{seconds(100)};
  const attempt_id attempt{.request = {.incarnation = 1, .counter = 1}, .attempt = 1};
  grant_table grants(7);
  const grant_id grant = grants.Issue(now, attempt, seconds(2));
  CHECK(grant.incarnation == 7);

  SUBCASE("issuing again returns the same grant with a later expiry") {
    CHECK(grants.Issue(now + seconds(1), attempt, seconds(2)) == grant);
    CHECK(grants.ExpiryOf(attempt) == now + seconds(3));
    SUBCASE("issuing again does not shorten the lifetime") {
      grants.Issue(now + seconds(1), attempt, milliseconds(1));
      CHECK(grants.ExpiryOf(attempt) == now + seconds(3));
    }
  }
  SUBCASE("a valid grant is redeemed") {
    CHECK(grants.Redeem(now + seconds(1), attempt, grant));
    SUBCASE("a redeemed grant cannot be redeemed again") {
      CHECK_FALSE(grants.Redeem(now + seconds(1), attempt, grant));
    }
  }
  SUBCASE("another attempt cannot redeem it") {
    CHECK_FALSE(grants.Redeem(now, {.request = attempt.request, .attempt = 2}, grant));
  }
  SUBCASE("a grant of another incarnation is not valid") {
    CHECK_FALSE(grants.Redeem(now, attempt, {.incarnation = 6, .counter = grant.counter}));
  }
  SUBCASE("a grant is not valid at its expiry") {
    CHECK(grants.next_expiry() == now + seconds(2));
    CHECK_FALSE(grants.Redeem(now + seconds(2), attempt, grant));
    CHECK(grants.Expire(now + seconds(2)) == std::vector<attempt_id>{attempt});
    CHECK(grants.size() == 0);
    SUBCASE("a grant issued after the expiry has a new number") {
      CHECK(grants.Issue(now + seconds(3), attempt, seconds(2)) != grant);
    }
  }
}

}  // namespace
}  // namespace jacinthspool
