#include "jacinthspool/routing/caller_patience.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a caller with less time than first tries have comes back") {
  const instant start{seconds(100)};
  caller_patience patience({});
  CHECK_FALSE(patience.ComesBack("r", milliseconds(13900), start));
  CHECK_FALSE(patience.ComesBack("r", milliseconds(12000), start));
  CHECK(patience.ComesBack("r", milliseconds(10500), start));

  SUBCASE("on its own route only") {
    CHECK_FALSE(patience.ComesBack("other", milliseconds(600), start));
  }
  SUBCASE("a route whose callers got more patient shows it at once") {
    CHECK_FALSE(patience.ComesBack("r", milliseconds(20000), start));
    CHECK(patience.ComesBack("r", milliseconds(13900), start));
  }
  SUBCASE("one odd caller is forgotten in time") {
    CHECK_FALSE(patience.ComesBack("r", milliseconds(28000), start));
    CHECK(patience.ComesBack("r", milliseconds(13900), start + seconds(1)));
    CHECK_FALSE(patience.ComesBack("r", milliseconds(13900), start + seconds(140)));
  }
}

}  // namespace
}  // namespace jacinthspool
