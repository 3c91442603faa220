#include "jacinthspool/routing/backend_list.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

backend_record Record(const std::string& id, std::uint64_t revision, bool leaving = false) {
  return {.id = id, .service = "s", .leaving = leaving, .published = revision};
}

TEST_CASE("while the publisher is available, its changes take effect at once") {
  const instant start{seconds(100)};
  backend_list list({});
  list.Replace({Record("a", 1), Record("b", 2)}, 2, start);

  SUBCASE("a removed server is dropped") {
    list.Remove("a", 3, start);
    CHECK_FALSE(list.backends().contains("a"));
  }
  SUBCASE("changes older than the known record are ignored") {
    list.Put(Record("a", 5, true));
    list.Put(Record("a", 4, false));
    list.Remove("a", 3, start);
    CHECK(list.backends().at("a").leaving);
    list.Replace({Record("b", 2)}, 4, start);
    CHECK(list.backends().contains("a"));
  }
}

TEST_CASE("a server that reports that it is leaving stays marked") {
  const instant start{seconds(100)};
  backend_list list({.leaving_retention = seconds(600)});
  list.Replace({Record("a", 1), Record("b", 2)}, 2, start);
  CHECK(list.MarkLeaving("a", 0, start));
  CHECK_FALSE(list.MarkLeaving("a", 0, start));
  CHECK(list.backends().at("a").leaving);

  SUBCASE("in a newer entry, in a newer list, and after its entry was removed") {
    list.Put(Record("a", 3));
    CHECK(list.backends().at("a").leaving);
    list.Replace({Record("a", 4)}, 4, start);
    CHECK(list.backends().at("a").leaving);
    list.Remove("a", 5, start);
    list.Put(Record("a", 6));
    CHECK(list.backends().at("a").leaving);
  }
  SUBCASE("the mark does not apply to another incarnation of its id") {
    backend_record next = Record("a", 3);
    next.started_ms = 7;
    list.Put(next);
    CHECK_FALSE(list.backends().at("a").leaving);
    CHECK_FALSE(list.MarkLeaving("a", 0, start));
  }
  SUBCASE("the mark is forgotten some time after the entry was removed") {
    list.Remove("a", 3, start);
    list.Expire(start + seconds(601));
    list.Put(Record("a", 4));
    CHECK_FALSE(list.backends().at("a").leaving);
  }
}

TEST_CASE("servers whose entries expired while the publisher was unavailable stay in use") {
  const instant start{seconds(100)};
  backend_list list({.expiry_grace = seconds(2)});
  list.Replace({Record("a", 1), Record("b", 2), Record("c", 3, true)}, 3, start);
  list.PublisherLost();
  const instant back = start + seconds(5);
  list.PublisherRegained(back);

  SUBCASE("servers missing from the next list are kept for the grace period") {
    list.Replace({Record("b", 2)}, 9, back);
    CHECK(list.backends().contains("a"));
    CHECK_FALSE(list.Expire(back + milliseconds(1900)));

    SUBCASE("a server that is published again by then is kept") {
      list.Put(Record("a", 10));
      list.Expire(back + seconds(2));
      CHECK(list.backends().contains("a"));
    }
    SUBCASE("a server that is still missing then is dropped") {
      CHECK(list.Expire(back + seconds(2)));
      CHECK_FALSE(list.backends().contains("a"));
      CHECK(list.backends().contains("b"));
    }
  }
  SUBCASE("a leaving server is dropped with its entry") {
    list.Remove("c", 9, back);
    CHECK_FALSE(list.backends().contains("c"));
  }
  SUBCASE("a removal after the grace period takes effect at once") {
    list.Remove("a", 9, back + seconds(3));
    CHECK_FALSE(list.backends().contains("a"));
  }
}

TEST_CASE("a removal that a peer has seen is not taken for a lapse") {
  const instant start{seconds(100)};
  backend_list list({.expiry_grace = seconds(2)});
  list.Replace({Record("a", 1), Record("b", 2)}, 2, start);
  list.PublisherLost();
  CHECK(list.lost_at() == store_position(2));

  SUBCASE("the server is dropped at once") {
    CHECK(list.Depart({.id = "a", .at = 5}, start));
    CHECK_FALSE(list.backends().contains("a"));
    CHECK_FALSE(list.Depart({.id = "a", .at = 5}, start));

    SUBCASE("the list of another peer that has missed the removal does not bring it back") {
      list.Replace({Record("a", 1), Record("b", 2)}, 6, start);
      CHECK_FALSE(list.backends().contains("a"));
    }
    SUBCASE("an old entry of the publisher does not bring it back") {
      list.Put(Record("a", 4));
      CHECK_FALSE(list.backends().contains("a"));
    }
    SUBCASE("it is back when it is published again") {
      list.Put(Record("a", 6));
      CHECK(list.backends().contains("a"));
      CHECK_FALSE(list.backends().at("a").leaving);
      CHECK_FALSE(list.Depart({.id = "a", .at = 5}, start));
      CHECK(list.DepartedAfter(2).empty());
    }
    SUBCASE("other gateways without the publisher are told") {
      REQUIRE(list.DepartedAfter(4).size() == 1);
      CHECK(list.DepartedAfter(4)[0].id == "a");
      CHECK(list.DepartedAfter(5).empty());
    }
  }
  SUBCASE("also if its removal was deferred before") {
    list.Replace({Record("b", 2)}, 9, start);
    CHECK(list.backends().contains("a"));
    CHECK(list.Depart({.id = "a", .at = 5}, start));
    CHECK_FALSE(list.backends().contains("a"));
  }
  SUBCASE("also if the list comes later") {
    CHECK_FALSE(list.Depart({.id = "c", .at = 5}, start));
    list.Replace({Record("b", 2), Record("c", 3)}, 6, start);
    CHECK_FALSE(list.backends().contains("c"));
  }
  SUBCASE("a record that is newer than the removal stays") {
    list.Put(Record("a", 6));
    CHECK_FALSE(list.Depart({.id = "a", .at = 5}, start));
    CHECK(list.backends().contains("a"));
  }
  SUBCASE("a removal of an older era does not concern a record of the new one") {
    backend_record record = Record("a", 1);
    record.published = {2, 1};
    list.Put(record);
    CHECK_FALSE(list.Depart({.id = "a", .at = {1, 90}}, start));
    CHECK(list.backends().contains("a"));
  }
  SUBCASE("a deferred removal is not told to others until it has taken effect") {
    list.Remove("a", 7, start);
    CHECK(list.DepartedAfter(2).empty());
    list.PublisherRegained(start);
    list.PublisherLost();
    CHECK(list.lost_at() == store_position(2));
    list.PublisherRegained(start);
    CHECK(list.Expire(start + seconds(2)));
    REQUIRE(list.DepartedAfter(2).size() == 1);
    CHECK(list.DepartedAfter(2)[0].at == store_position(7));
  }
}

/// \returns The record as published in the second era.
backend_record Copied(const std::string& id, std::uint64_t revision) {
  backend_record record = Record(id, revision);
  record.published = {2, revision};
  return record;
}

TEST_CASE("a publisher that is restored from an older copy begins a new era") {
  const instant start{seconds(100)};
  backend_list list({.expiry_grace = seconds(2), .stale_entry_life = seconds(6)});
  list.Replace({Record("kept", 1), Record("lost", 8), Record("leaves", 2), Record("gone", 3)},
               {1, 8}, start);
  list.Put(Record("leaves", 9, true));
  list.Remove("gone", {1, 10}, start);
  const instant back = start + seconds(5);
  list.Replace({Copied("kept", 1), Copied("leaves", 2), Copied("gone", 3)}, {2, 4}, back);
  CHECK(list.position() == store_position(2, 4));

  SUBCASE("its lower revisions are newer than all of the era before") {
    list.Put(Record("kept", 20, true));
    CHECK_FALSE(list.backends().at("kept").leaving);
    backend_record moved = Copied("kept", 5);
    moved.address = "10.0.0.9:80";
    list.Put(moved);
    CHECK(list.backends().at("kept").address == "10.0.0.9:80");
    list.Replace({}, {1, 99}, back);
    CHECK(list.backends().contains("kept"));
  }
  SUBCASE("a server that the copy lacks is kept for the grace period") {
    CHECK(list.backends().contains("lost"));
    CHECK_FALSE(list.Expire(back + seconds(1)));
    SUBCASE("it stays if it is published again") {
      list.Put(Copied("lost", 5));
      list.Expire(back + seconds(3));
      CHECK(list.backends().contains("lost"));
    }
    SUBCASE("it is dropped otherwise") {
      CHECK(list.Expire(back + seconds(3)));
      CHECK_FALSE(list.backends().contains("lost"));
    }
  }
  SUBCASE("a leaving server stays marked, although the copy has it without the mark") {
    CHECK(list.backends().at("leaves").leaving);
    list.Put(Copied("leaves", 5));
    CHECK(list.backends().at("leaves").leaving);
    list.Expire(back + seconds(60));
    CHECK(list.backends().at("leaves").leaving);
  }
  SUBCASE("an entry whose removal was seen gets no requests") {
    CHECK(list.backends().at("gone").leaving);
    SUBCASE("until its server publishes it again") {
      list.Put(Copied("gone", 6));
      CHECK_FALSE(list.backends().at("gone").leaving);
    }
    SUBCASE("until it has outlived the time in which a stale entry expires") {
      CHECK(list.Expire(back + seconds(7)));
      CHECK_FALSE(list.backends().at("gone").leaving);
    }
    SUBCASE("its mark is dropped when a later list lacks it") {
      list.Replace({Copied("kept", 1)}, {2, 9}, back + seconds(5));
      list.Expire(back + seconds(7));
      CHECK_FALSE(list.backends().contains("gone"));
    }
    SUBCASE("it is dropped when it expires") {
      list.Remove("gone", {2, 7}, back + seconds(4));
      CHECK_FALSE(list.backends().contains("gone"));
    }
  }
  SUBCASE("a second restore begins a third era") {
    list.Replace({Copied("kept", 1)}, {3, 1}, back + seconds(1));
    CHECK(list.position() == store_position(3, 1));
    CHECK(list.backends().contains("leaves"));
    CHECK(list.backends().at("leaves").leaving);
  }
}

}  // namespace
}  // namespace jacinthspool
