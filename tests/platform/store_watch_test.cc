#include "platform/store_watch.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "tests/soak/store_standin.h"

namespace jacinthspool::platform {
namespace {

using testing::store_standin;

std::string Registration(const std::string& address) {
  return R"({"service":"s","address":")" + address +
         R"(","zone":"z","slots":4,"state":"ready","seq":1})";
}

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"limits":{"maxHeaderBytes":1000,"maxBodyBytes":1000,)"
         R"("headerTimeoutMs":1000,"idleTimeoutMs":1000}})";
}

/// Records the latest state that the watch reported.
struct recording_listener : discovery_listener {
  std::uint64_t version = 0;
  std::map<std::string, std::string> addresses;
  std::vector<store_position> lists;
  int lost = 0;

  void OnConfiguration(std::shared_ptr<const forward_configuration> next) override {
    version = next->version;
  }
  void OnBackends(std::vector<backend_record> records, store_position at) override {
    lists.push_back(at);
    addresses.clear();
    for (const backend_record& each : records) {
      addresses[each.id] = each.address;
    }
  }
  void OnBackendPut(backend_record record) override { addresses[record.id] = record.address; }
  void OnBackendRemoved(const std::string& id, store_position /*at*/) override {
    addresses.erase(id);
  }
  void OnPublisherLost(const std::string& /*reason*/) override { ++lost; }
  void OnPublisherRegained() override {}
};

struct watch_rig {
  event_loop loop;
  timer_service timers{loop};
  store_standin store{loop, timers};
  recording_listener listener;
  store_watch watch{{.loop = loop,
                     .timers = timers,
                     .publisher = store.address(),
                     .change_bound = milliseconds(90)}};

  watch_rig() {
    store.Put("op/config", Configuration(1));
    store.Put("servers/a", Registration("10.0.0.1:80"));
    watch.Start(listener);
    Elapse(milliseconds(200));
  }
  void Elapse(milliseconds time) {
    const timer_subscription end = timers.After(time, [this](instant /*now*/) { loop.Stop(); });
    loop.Run();
  }
};

TEST_CASE("a watch reports the content of the store and each change") {
  watch_rig rig;
  CHECK(rig.listener.version == 1);
  CHECK(rig.listener.addresses == std::map<std::string, std::string>{{"a", "10.0.0.1:80"}});
  rig.store.Put("servers/b", Registration("10.0.0.2:80"));
  rig.Elapse(milliseconds(200));
  CHECK(rig.listener.addresses.size() == 2);
  REQUIRE(rig.listener.lists.size() == 1);
  CHECK(rig.listener.lists[0].era == 1);
}

TEST_CASE("a store restored from an older copy is read again") {
  watch_rig rig;
  rig.store.BackUp();
  rig.store.Put("servers/b", Registration("10.0.0.2:80"));
  rig.store.Put("op/config", Configuration(2));
  rig.Elapse(milliseconds(200));
  REQUIRE(rig.listener.addresses.size() == 2);
  const store_position before = rig.listener.lists.back();
  rig.store.RestoreBackup();

  SUBCASE("a list with lower revisions has a later position") {
    rig.Elapse(milliseconds(800));
    CHECK(rig.listener.lists.back() > before);
    CHECK(rig.listener.lists.back().era == 2);
    CHECK(rig.listener.addresses == std::map<std::string, std::string>{{"a", "10.0.0.1:80"}});
    CHECK(rig.listener.version == 1);
    SUBCASE("changes written after the restore are reported") {
      rig.store.RewriteLostItems();
      rig.Elapse(milliseconds(300));
      CHECK(rig.listener.addresses.size() == 2);
      CHECK(rig.listener.version == 2);
    }
  }
  SUBCASE("the revision that was read has been reused") {
    for (const char* id : {"servers/c", "servers/d", "servers/e", "servers/f"}) {
      rig.store.Put(id, Registration("10.0.0.3:80"));
    }
    rig.Elapse(milliseconds(800));
    CHECK(rig.listener.lists.back().era == 2);
    CHECK(rig.listener.addresses.size() == 5);
    CHECK_FALSE(rig.listener.addresses.contains("b"));
    CHECK(rig.listener.version == 1);
  }
  SUBCASE("the store is restored twice in a row") {
    rig.store.RestoreBackup();
    rig.Elapse(milliseconds(800));
    CHECK(rig.listener.lists.back().era == 3);
    CHECK(rig.listener.addresses.size() == 1);
  }
}

TEST_CASE("an answer of an older era is discarded") {
  watch_rig rig;
  rig.store.SetReportedEra("7");
  rig.store.Put("servers/b", Registration("10.0.0.2:80"));
  rig.Elapse(milliseconds(300));
  REQUIRE(rig.listener.lists.back().era == 7);
  rig.store.SetReportedEra("6");
  rig.store.Put("servers/c", Registration("10.0.0.3:80"));
  rig.Elapse(milliseconds(300));
  CHECK(rig.listener.lost > 0);
  CHECK_FALSE(rig.listener.addresses.contains("c"));

  SUBCASE("the watch continues once the known era is reported again") {
    rig.store.SetReportedEra("7");
    rig.Elapse(milliseconds(1500));
    CHECK(rig.listener.addresses.contains("c"));
  }
}

TEST_CASE("an invalid era is ignored") {
  for (const char* text :
       {"", "x", "-1", "1.5", "99999999999999999999999", "18446744073709551615"}) {
    CAPTURE(text);
    watch_rig rig;
    rig.store.SetReportedEra(text);
    rig.store.Put("servers/b", Registration("10.0.0.2:80"));
    rig.Elapse(milliseconds(200));
    CHECK(rig.listener.addresses.size() == 2);
    CHECK(rig.listener.lists.size() == 1);
    CHECK(rig.listener.lost == 0);
  }
}

}  // namespace
}  // namespace jacinthspool::platform
