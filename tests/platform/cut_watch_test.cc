#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "platform/store_watch.h"
#include "tests/soak/store_standin.h"

namespace jacinthspool::platform {
namespace {

using testing::store_standin;

constexpr milliseconds kBound = milliseconds(1000);

/// Applies what the watch reports as a gateway does.
struct listed_backends : discovery_listener {
  backend_list list{{.expiry_grace = kBound}};

  void OnConfiguration(std::shared_ptr<const forward_configuration> /*next*/) override {}
  void OnBackends(std::vector<backend_record> records, store_position at) override {
    list.Replace(std::move(records), at, timer_service::now());
  }
  void OnBackendPut(backend_record record) override { list.Put(std::move(record)); }
  void OnBackendRemoved(const std::string& id, store_position at) override {
    list.Remove(id, at, timer_service::now());
  }
  void OnPublisherLost(const std::string& /*reason*/) override { list.PublisherLost(); }
  void OnPublisherRegained() override { list.PublisherRegained(timer_service::now()); }
  void OnBackendsConfirmed(instant /*sent*/) override {}
  void OnConfigurationLost() override {}
  void OnConfigurationRegained() override {}
  void OnConfigurationConfirmed(instant /*sent*/) override {}
};

struct cutting_store {
  event_loop loop;
  timer_service timers{loop};
  store_standin store{loop, timers};
  listed_backends known;
  store_watch watch{{.loop = loop,
                     .timers = timers,
                     .publisher = store.address(),
                     .change_bound = kBound,
                     .heartbeat = kBound * 3 / 5}};
  timer_subscription expiry =
      timers.Every(kBound / 8, [this](instant now) { known.list.Expire(now); });

  cutting_store() {
    for (const char* key : {"servers/goes", "servers/stays"}) {
      store.Put(key, R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
                     R"("slots":4,"state":"ready","coldLeftMs":0,"seq":1})");
    }
    watch.Start(known);
    Elapse(kBound * 5 / 4);  // The grace period of the first answer ends.
  }
  void Elapse(milliseconds time) {
    const timer_subscription end = timers.After(time, [this](instant /*now*/) { loop.Stop(); });
    loop.Run();
  }
};

// DRAIN: each cut counted as an outage, after which removals were deferred anew.
TEST_CASE("a removal is in force in time while the store cuts every watch that waits") {
  milliseconds wait{};
  SUBCASE("at once") { wait = milliseconds(0); }
  SUBCASE("after a moment") { wait = kBound * 3 / 20; }
  SUBCASE("after a third of the bound") { wait = kBound * 7 / 20; }
  SUBCASE("shortly before its end") { wait = kBound * 7 / 8; }
  CAPTURE(wait.count());
  cutting_store platform;
  platform.store.CutWatchesAfter(wait);
  platform.Elapse(kBound * 2);
  REQUIRE(platform.known.list.backends().size() == 2);
  const std::uint64_t calls = platform.store.calls();
  platform.store.Remove("servers/goes");
  platform.Elapse(kBound);
  CHECK_FALSE(platform.known.list.backends().contains("goes"));
  CHECK(platform.known.list.backends().contains("stays"));
  // Two watches, each with a probe, a read and a poll at most in a third of the bound.
  CHECK(platform.store.calls() - calls <= 24);
}

TEST_CASE("a removal after a real outage is still deferred while the store cuts watches") {
  cutting_store platform;
  platform.store.CutWatchesAfter(kBound * 7 / 20);
  platform.store.SetBehaviour(store_standin::behaviour::kBusy);
  platform.Elapse(kBound * 2);
  platform.store.SetBehaviour(store_standin::behaviour::kServing);
  platform.store.Remove("servers/goes");
  platform.Elapse(kBound * 9 / 10);
  CHECK(platform.known.list.backends().contains("goes"));
}

}  // namespace
}  // namespace jacinthspool::platform
