#include <doctest/doctest.h>

#include <initializer_list>
#include <string>

#include "tests/gateway/peered_gateways.h"

namespace jacinthspool {
namespace {

gateway_settings BoundedBy(milliseconds bound) {
  gateway_settings settings;
  settings.key_bound_ms = static_cast<std::uint32_t>(bound.count());
  return settings;
}

/// \returns The configuration with one tenant, which holds those keys; the route "/again/" is
/// public.
std::shared_ptr<forward_configuration> WithKeys(const forward_configuration& before,
                                                std::uint64_t version,
                                                std::initializer_list<const char*> keys) {
  auto made = std::make_shared<forward_configuration>(before);
  made->version = version;
  for (forward_route& route : made->routes) {
    route.is_public = route.prefix == "/again/";
  }
  tenant holder{.name = "t1"};
  for (const char* key : keys) {
    holder.keys.push_back(DigestOfKey(key));
  }
  made->tenants = std::make_shared<const tenant_list>(tenant_list{.tenants = {holder}});
  return made;
}

/// A gateway with a bound for keys, whose tenant holds "good".
struct keyed_platform : fake_platform {
  explicit keyed_platform(milliseconds bound) {
    router.ApplySettings(BoundedBy(bound));
    Configure();
    Hold(2, {"good"});
  }
  void Hold(std::uint64_t version, std::initializer_list<const char*> keys) {
    router.OnConfiguration(WithKeys(*router.configuration(), version, keys));
  }
  /// \returns The status line and headers of the answer.
  std::string Ask(const std::string& path, const std::string& key) {
    fake_caller caller(*this);
    caller.Send(path, key.empty() ? "" : "X-Key: " + key + "\r\n");
    caller.Receives("\r\n\r\n");
    return caller.received;
  }
  void Pass(milliseconds time) {
    const instant start = timer_service::now();
    RunUntil(loop, [&] { return timer_service::now() - start > time; });
  }
};

bool Unconfirmed(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After") != std::string::npos;
}

TEST_CASE("keys admit requests only while the configuration is confirmed") {
  keyed_platform platform(milliseconds(1000));
  scripted_backend& server = platform.AddBackend("plain");
  server.script = scripted_backend::Serve;

  SUBCASE("a process that starts admits none before the first confirmation") {
    CHECK(Unconfirmed(platform.Ask("/once/a", "good")));
    CHECK(server.requests.empty());
    platform.router.OnConfigurationConfirmed(timer_service::now());
    CHECK(platform.Ask("/once/a", "good").starts_with("HTTP/1.1 200"));
  }
  SUBCASE("an unknown key is rejected for good only by a confirmed configuration") {
    CHECK(Unconfirmed(platform.Ask("/once/a", "other")));
    CHECK(Unconfirmed(platform.Ask("/once/a", "")));
    platform.router.OnConfigurationConfirmed(timer_service::now());
    CHECK(platform.Ask("/once/a", "other").starts_with("HTTP/1.1 401"));
    CHECK(platform.Ask("/once/a", "").starts_with("HTTP/1.1 401"));
  }
  SUBCASE("a public route is served without") {
    CHECK(platform.Ask("/again/a", "").starts_with("HTTP/1.1 200"));
  }
  SUBCASE("the bound ends the admission, and the next answered call renews it") {
    platform.router.OnConfigurationConfirmed(timer_service::now());
    platform.Pass(milliseconds(1050));
    CHECK(Unconfirmed(platform.Ask("/once/a", "good")));
    platform.router.OnConfigurationConfirmed(timer_service::now());
    CHECK(platform.Ask("/once/a", "good").starts_with("HTTP/1.1 200"));
  }
  SUBCASE("an answer that comes after a long suspension counts from its call") {
    platform.router.OnConfigurationConfirmed(timer_service::now() - seconds(10));
    CHECK(Unconfirmed(platform.Ask("/once/a", "good")));
  }
  SUBCASE("a configuration that may have lost its tenants is not applied") {
    auto unknown = std::make_shared<forward_configuration>(*platform.router.configuration());
    unknown->version = 9;
    unknown->tenants = nullptr;
    unknown->tenants_unknown = true;
    platform.router.OnConfiguration(std::move(unknown));
    CHECK(platform.router.configuration()->version == 2);
  }
}

TEST_CASE("a request that has waited is checked again before it is sent") {
  keyed_platform platform(milliseconds(1000));
  platform.router.OnConfigurationConfirmed(timer_service::now());
  std::shared_ptr<any_answer> reservation;
  std::size_t served = 0;
  std::size_t released = 0;
  scripted_backend& engine = platform.AddBackend("model", engine_stage::kDecode);
  engine.script = [&](const http1_request& request, any_answer& answer) {
    if (request.head.target == "/v1/hold-take") {
      reservation = engine.answers.back();
    } else if (request.head.target.starts_with("/stream/")) {
      ++served;
      answer.Begin(200, scripted_backend::Genuine(request));
      answer.Send(scripted_backend::Event(1));
      answer.End();
    } else {
      ++released;
      answer.Reply(200, scripted_backend::Genuine(request), "");
    }
  };
  fake_caller caller(platform);
  caller.Send("/stream/", "X-Key: good\r\nX-Token-Count: 3000,100\r\n");
  REQUIRE(caller.Wait([&] { return reservation != nullptr; }));
  const auto grant = [&] {
    reservation->Reply(200, scripted_backend::Genuine(engine.requests.back()),
                       R"({"hold":"room"})");
  };

  SUBCASE("it is sent when its key is still held") {
    platform.Hold(3, {"good", "further"});
    grant();
    CHECK(caller.Receives("HTTP/1.1 200"));
    CHECK(served == 1);
  }
  SUBCASE("a key that was taken away meanwhile does not admit it") {
    platform.Hold(3, {"further"});
    grant();
    CHECK(caller.Receives("HTTP/1.1 401"));
    CHECK(caller.Wait([&] { return released == 1; }));
    CHECK(served == 0);
  }
  SUBCASE("past the bound it is refused as not run") {
    platform.Pass(milliseconds(1050));
    grant();
    CHECK(caller.Receives("Retry-After"));
    CHECK(Unconfirmed(caller.received));
    CHECK(served == 0);
  }
}

/// Gateways with the same version, of which none has reached the publisher itself.
struct keyed_gateways : peered_gateways {
  milliseconds bound = milliseconds(3000);

  void Publish(gateway& router) override {
    router.ApplySettings(BoundedBy(bound));
    peered_gateways::Publish(router, WithKeys({}, 1, {"good"}), {}, 1);
  }
  [[nodiscard]] bool Confirmed(std::size_t index) const {
    return members[index]->router.confirmed_as_of().has_value();
  }
};

TEST_CASE("a gateway without the publisher learns from its peers how recent its version is") {
  keyed_gateways fleet;
  fleet.Start(2);
  gateway& told = fleet.members[0]->router;
  gateway& asks = fleet.members[1]->router;
  const instant sent = timer_service::now() - milliseconds(200);

  SUBCASE("by a peer of the same version, and no more recent than the peer's") {
    told.OnConfigurationConfirmed(sent);
    REQUIRE(RunUntil(fleet.loop, [&] { return fleet.Confirmed(1); }));
    CHECK(*asks.confirmed_as_of() <= sent);
    CHECK(*asks.confirmed_as_of() > sent - milliseconds(500));

    SUBCASE("also after a restart") {
      fleet.members[1].reset();
      fleet.Restart(1);
      CHECK_FALSE(fleet.Confirmed(1));
      REQUIRE(RunUntil(fleet.loop, [&] { return fleet.Confirmed(1); }));
      CHECK(*fleet.members[1]->router.confirmed_as_of() <= sent);
    }
    SUBCASE("and the two do not renew each other") {
      fleet.Run(milliseconds(1500));
      CHECK(*told.confirmed_as_of() == sent);
      CHECK(*asks.confirmed_as_of() <= sent);
    }
  }
  SUBCASE("not by a peer that is behind, or of a version that is not in force") {
    gateway_snapshot word;
    for (const std::uint64_t version : {0, 2}) {
      word.confirmed = configuration_confirmation{.version = version, .as_of = sent};
      asks.ApplySnapshot(word);
      CHECK_FALSE(fleet.Confirmed(1));
    }
  }
}

}  // namespace
}  // namespace jacinthspool
