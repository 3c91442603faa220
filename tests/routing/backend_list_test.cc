#include "jacinthspool/routing/backend_list.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

backend_record Record(const std::string& id, std::uint64_t revision, bool leaving = false) {
  return {.id = id, .service = "s", .leaving = leaving, .revision = revision};
}

TEST_CASE("while the publisher answers, the list is what it says") {
  const instant start{seconds(100)};
  backend_list list({});
  list.Replace({Record("a", 1), Record("b", 2)}, 2, start);

  SUBCASE("a removal takes effect at once") {
    list.Remove("a", 3, start);
    CHECK_FALSE(list.backends().contains("a"));
  }
  SUBCASE("what is older than what is known changes nothing") {
    list.Put(Record("a", 5, true));
    list.Put(Record("a", 4, false));
    list.Remove("a", 3, start);
    CHECK(list.backends().at("a").leaving);
    list.Replace({Record("b", 2)}, 4, start);
    CHECK(list.backends().contains("a"));
  }
}

TEST_CASE("a server that says that it leaves does, whatever the publisher says") {
  const instant start{seconds(100)};
  backend_list list({.leaving_memory = seconds(600)});
  list.Replace({Record("a", 1), Record("b", 2)}, 2, start);
  CHECK(list.MarkLeaving("a", 0, start));
  CHECK_FALSE(list.MarkLeaving("a", 0, start));
  CHECK(list.backends().at("a").leaving);

  SUBCASE("in a newer entry, in a newer list, and after its entry lapsed") {
    list.Put(Record("a", 3));
    CHECK(list.backends().at("a").leaving);
    list.Replace({Record("a", 4)}, 4, start);
    CHECK(list.backends().at("a").leaving);
    list.Remove("a", 5, start);
    list.Put(Record("a", 6));
    CHECK(list.backends().at("a").leaving);
  }
  SUBCASE("but not another incarnation of its id") {
    backend_record next = Record("a", 3);
    next.started_ms = 7;
    list.Put(next);
    CHECK_FALSE(list.backends().at("a").leaving);
    CHECK_FALSE(list.MarkLeaving("a", 0, start));
  }
  SUBCASE("and it is forgotten long after its entry is gone") {
    list.Remove("a", 3, start);
    list.Expire(start + seconds(601));
    list.Put(Record("a", 4));
    CHECK_FALSE(list.backends().at("a").leaving);
  }
}

TEST_CASE("servers whose entries lapsed while the publisher was away stay in use") {
  const instant start{seconds(100)};
  backend_list list({.lapse_grace = seconds(2)});
  list.Replace({Record("a", 1), Record("b", 2), Record("c", 3, true)}, 3, start);
  list.PublisherLost();
  const instant back = start + seconds(5);
  list.PublisherBack(back);

  SUBCASE("those that the list after the return lacks until its grace is over") {
    list.Replace({Record("b", 2)}, 9, back);
    CHECK(list.backends().contains("a"));
    CHECK_FALSE(list.Expire(back + milliseconds(1900)));

    SUBCASE("when they are back by then") {
      list.Put(Record("a", 10));
      list.Expire(back + seconds(2));
      CHECK(list.backends().contains("a"));
    }
    SUBCASE("and no longer when they are still missing") {
      CHECK(list.Expire(back + seconds(2)));
      CHECK_FALSE(list.backends().contains("a"));
      CHECK(list.backends().contains("b"));
    }
  }
  SUBCASE("but one that was leaving goes with its entry") {
    list.Remove("c", 9, back);
    CHECK_FALSE(list.backends().contains("c"));
  }
  SUBCASE("and a removal long after the return is no lapse") {
    list.Remove("a", 9, back + seconds(3));
    CHECK_FALSE(list.backends().contains("a"));
  }
}

}  // namespace
}  // namespace jacinthspool
