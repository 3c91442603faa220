#include <doctest/doctest.h>

#include <string>

#include "platform/store_records.h"
#include "platform/store_watch.h"
#include "tests/process/relay.h"
#include "tests/soak/store_standin.h"

namespace jacinthspool::platform {
namespace {

using testing::relay;
using testing::store_standin;

/// `configMs` of the deployments with slow links.
constexpr milliseconds kBound = seconds(3);
/// 10 Mbit/s.
constexpr std::size_t kSlowLink = 1'250'000;
/// The store's `valueBytes`.
constexpr std::size_t kLargestValue = 1U << 20U;
constexpr int kManyRoutes = 2'840;

std::string Configuration(int version, int routes) {
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (int i = 0; i < routes; ++i) {
    text += (i > 0 ? "," : "") + std::string(R"({"name":"route-)") + std::to_string(i) +
            R"(","host":"exhibits.example","prefix":"/p)" + std::to_string(i) +
            R"(/","kind":"streaming","timeoutMs":14000,"goalMs":900,"priority":1,)"
            R"("service":"model","attempts":1,"sticky":true,"resumable":false,"gapAimMs":300})";
  }
  return text + R"(],"services":[{"name":"model"}],"limits":{"maxHeaderBytes":16384,)"
                R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/// \returns The most routes of a configuration that the store accepts.
int MostRoutes() {
  const std::size_t one = Configuration(1, 10'001).size() - Configuration(1, 10'000).size();
  return static_cast<int>((kLargestValue - Configuration(1, 0).size()) / one);
}

struct version_listener : discovery_listener {
  std::uint64_t version = 0;
  std::size_t configurations = 0;

  void OnConfiguration(std::shared_ptr<const forward_configuration> next) override {
    version = std::max(version, next->version);
    ++configurations;
  }
  void OnBackends(std::vector<backend_record> /*records*/, store_position /*at*/) override {}
  void OnBackendPut(backend_record /*record*/) override {}
  void OnBackendRemoved(const std::string& /*id*/, store_position /*at*/) override {}
  void OnPublisherLost(const std::string& /*reason*/) override {}
  void OnPublisherRegained() override {}
  void OnBackendsConfirmed(instant /*sent*/) override {}
  void OnConfigurationLost() override {}
  void OnConfigurationRegained() override {}
  void OnConfigurationConfirmed(instant /*sent*/) override {}
};

/// A watch of a store behind a slow link.
struct slow_link_rig {
  event_loop loop;
  timer_service timers{loop};
  store_standin store{loop, timers};
  relay link{loop, "127.0.0.1:0", store.address()};
  version_listener listener;
  store_watch watch{
      {.loop = loop, .timers = timers, .publisher = link.address(), .change_bound = kBound}};

  explicit slow_link_rig(int routes, std::size_t bytes_per_second = kSlowLink) {
    link.PaceReplies(bytes_per_second);
    store.Put("op/config", Configuration(1, routes));
  }
  /// \brief Starts the watch and waits for the first version.
  void ReadFirst() {
    watch.Start(listener);
    REQUIRE(TimeUntil(1) < kBound);
  }
  void Elapse(milliseconds time) {
    const timer_subscription end = timers.After(time, [this](instant /*now*/) { loop.Stop(); });
    loop.Run();
  }
  /// \returns The time until the version is reported; twice the bound when it never is.
  milliseconds TimeUntil(std::uint64_t version) {
    const instant start = timer_service::now();
    const auto poll = timers.Every(milliseconds(5), [&](instant now) {
      if (listener.version >= version || now - start > 2 * kBound) {
        loop.Stop();
      }
    });
    loop.Run();
    return std::chrono::ceil<milliseconds>(timer_service::now() - start);
  }
};

TEST_CASE("the largest configuration that the store accepts is usable") {
  std::string error;
  CHECK(DecodeConfiguration(Configuration(1, MostRoutes()), error));
  CHECK(error.empty());
}

TEST_CASE("a large configuration is not given up while it arrives") {
  SUBCASE("one of the largest size, at the start") {
    slow_link_rig rig(MostRoutes());
    rig.watch.Start(rig.listener);
    CHECK(rig.TimeUntil(1) < kBound);
  }
  SUBCASE("one that is published as a watch has nearly waited out its time") {
    slow_link_rig rig(40);
    rig.ReadFirst();
    rig.Elapse(kBound - milliseconds(100));
    rig.store.Put("op/config", Configuration(2, MostRoutes()));
    CHECK(rig.TimeUntil(2) < kBound);
  }
}

TEST_CASE("the last of a series of large configurations is in force within the bound") {
  slow_link_rig rig(kManyRoutes);
  rig.ReadFirst();
  rig.Elapse(milliseconds(500));
  for (int version = 2; version <= 6; ++version) {
    rig.store.Put("op/config", Configuration(version, kManyRoutes));
    rig.Elapse(version < 6 ? milliseconds(300) : milliseconds(0));
  }
  CHECK(rig.TimeUntil(6) < kBound);
}

TEST_CASE("versions that a newer one of the same reply replaces are not applied") {
  slow_link_rig rig(40);
  rig.ReadFirst();
  rig.Elapse(milliseconds(200));
  for (int version = 2; version <= 6; ++version) {
    rig.store.Put("op/config", Configuration(version, 40));
    rig.Elapse(milliseconds(50));
  }
  REQUIRE(rig.TimeUntil(6) < kBound);
  // Versions 2, alone, and 6.
  CHECK(rig.listener.configurations == 3);

  SUBCASE("unless the newer one cannot be used") {
    rig.Elapse(kBound / 2);
    rig.store.Put("op/config", Configuration(7, 40));
    rig.Elapse(milliseconds(50));
    rig.store.Put("op/config", Configuration(8, 40));
    rig.store.Put("op/config", "{}");
    CHECK(rig.TimeUntil(8) < kBound);
  }
}

TEST_CASE("a reply of the store that falls silent is given up") {
  slow_link_rig rig(kManyRoutes);
  rig.ReadFirst();
  rig.Elapse(milliseconds(100));
  rig.store.Put("op/config", Configuration(2, kManyRoutes));
  rig.Elapse(milliseconds(100));
  rig.link.StallReplies();
  rig.Elapse(kBound);
  rig.link.Heal();
  CHECK(rig.TimeUntil(2) < kBound);
}

}  // namespace
}  // namespace jacinthspool::platform
