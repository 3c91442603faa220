#include "jacinthspool/routing/retry_detector.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a request with less time left than first attempts have is a retry") {
  const instant start{seconds(100)};
  retry_detector patience({});
  CHECK_FALSE(patience.IsRetry("r", milliseconds(13900), start));
  CHECK_FALSE(patience.IsRetry("r", milliseconds(12000), start));
  CHECK(patience.IsRetry("r", milliseconds(10500), start));

  SUBCASE("routes are independent") {
    CHECK_FALSE(patience.IsRetry("other", milliseconds(600), start));
  }
  SUBCASE("a longer wait takes effect at once") {
    CHECK_FALSE(patience.IsRetry("r", milliseconds(20000), start));
    CHECK(patience.IsRetry("r", milliseconds(13900), start));
  }
  SUBCASE("the effect of a single outlier fades") {
    CHECK_FALSE(patience.IsRetry("r", milliseconds(28000), start));
    CHECK(patience.IsRetry("r", milliseconds(13900), start + seconds(1)));
    CHECK_FALSE(patience.IsRetry("r", milliseconds(13900), start + seconds(140)));
  }
}

}  // namespace
}  // namespace jacinthspool
