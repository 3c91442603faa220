#include "src/gateway/tenant_payments.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "tests/gateway/peered_gateways.h"

namespace jacinthspool {
namespace {

/// Three gateways, one server, a loud tenant with 20 requests a second and a quiet one.
struct tenant_fleet : peered_gateways {
  scripted_backend server{loop, timers, "i-0000server"};
  std::map<std::string, int> arrivals;  ///< At the server, by tenant.
  bool server_rejects = false;
  std::map<std::string, std::map<int, int>> answers;  ///< By key and status.

  tenant_fleet() {
    server.script = [this](const http1_request& request, any_answer& answer) {
      if (server_rejects) {
        scripted_backend::Reject(request, answer);
        return;
      }
      ++arrivals[std::string(request.head.Find("X-Tenant").value_or(""))];
      scripted_backend::Serve(request, answer);
    };
    Start(3);
  }

  using peered_gateways::Publish;
  void Publish(gateway& router) override {
    auto made = std::make_shared<forward_configuration>();
    made->version = 1;
    made->routes.push_back({.name = "again",
                            .host = "h",
                            .prefix = "/again/",
                            .kind = request_kind::kIdempotent,
                            .max_attempts = 1,
                            .timeout = seconds(1),
                            .latency_objective = milliseconds(300),
                            .targets = {{.service = "plain"}}});
    made->services["plain"] = {.name = "plain"};
    const tenant_limit limit{.per_second = 20, .burst = 20, .unit = limit_unit::kRequests};
    made->tenants = std::make_shared<const tenant_list>(
        tenant_list{.tenants = {{.name = "loud", .keys = {DigestOfKey("k-loud")}, .limit = limit},
                                {.name = "quiet", .keys = {DigestOfKey("k-quiet")}, .limit = limit},
                                {.name = "free", .keys = {DigestOfKey("k-free")}}}});
    Publish(router, std::move(made),
            {{.id = server.id,
              .service = "plain",
              .address = server.address(),
              .data_centre = "dc",
              .slots = 50,
              .published = 1}},
            1);
  }

  void Ask(member& to, const std::string& key) {
    calls.push_back(std::make_unique<counted_call>(answers[key]));
    calls.back()->call =
        Send(to, "/again/", "X-Key: " + key + "\r\nX-Deadline-Ms: 800\r\n", *calls.back());
  }

  /// \brief Each gateway that runs gets a request of the loud tenant every 20 ms, and one of them
  /// gets one of the quiet tenant every 100 ms.
  void Load(milliseconds time) {
    int round = 0;
    const timer_subscription every = timers.Every(milliseconds(20), [&](instant /*now*/) {
      for (const auto& each : members) {
        if (each) {
          Ask(*each, "k-loud");
        }
      }
      if (++round % 5 == 0) {
        auto to = static_cast<std::size_t>(round / 5) % members.size();
        while (!members[to]) {
          to = (to + 1) % members.size();
        }
        Ask(*members[to], "k-quiet");
      }
    });
    Run(time);
  }

  [[nodiscard]] std::size_t HomeIndex(const std::string& tenant) const {
    const auto home = std::find(seeds.begin(), seeds.end(), CreditHomeOf(tenant, seeds));
    return static_cast<std::size_t>(home - seeds.begin());
  }
};

TEST_CASE("gateways keep a tenant's limit together") {
  tenant_fleet fleet;
  fleet.Run(milliseconds(1200));
  fleet.Load(seconds(3));
  fleet.Run(milliseconds(300));
  CHECK(fleet.arrivals["loud"] <= 20 * 3 + 20 + 5);
  CHECK(fleet.arrivals["loud"] >= 20 * 3 - 10);
  CHECK(fleet.answers["k-loud"][429] > 250);
  CHECK(fleet.answers["k-quiet"][200] >= 28);
  CHECK(fleet.answers["k-quiet"][429] == 0);

  SUBCASE("also once the quiet one's home has ended") {
    fleet.members[fleet.HomeIndex("quiet")].reset();
    fleet.arrivals.clear();
    fleet.answers.clear();
    fleet.Load(seconds(3));
    fleet.Run(milliseconds(300));
    CHECK(fleet.arrivals["loud"] <= 20 * 3 + 20 + 5);
    CHECK(fleet.arrivals["loud"] >= 20);
    CHECK(fleet.answers["k-quiet"][200] >= 27);
  }
}

TEST_CASE("a rejected request states when it may return") {
  tenant_fleet fleet;
  fleet.Run(milliseconds(1200));
  auto& to = *fleet.members.front();
  for (int i = 0; i < 40; ++i) {
    fleet.Ask(to, "k-loud");
  }
  fleet.Run(milliseconds(300));
  std::string received;
  const raw_socket socket = raw_socket::Connect(to.edge->port());
  socket.Write("GET /again/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Key: k-loud\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    fleet.Ask(to, "k-loud");
  }
  RunUntil(fleet.loop, [&] {
    (void)socket.Read(received);
    return received.find("\r\n\r\n") != std::string::npos;
  });
  fleet.Run(milliseconds(300));
  CHECK(fleet.answers["k-loud"][429] >= 20);
  const std::string metrics = to.router.metrics().Render();
  CHECK(metrics.find("gateway_tenant_rejected{tenant=\"loud\"}") != std::string::npos);
  CHECK(to.router.payments().waiting() == 0);
}

TEST_CASE("what servers reject is given back, and a tenant without a limit is not counted") {
  tenant_fleet fleet;
  fleet.Run(milliseconds(1200));
  fleet.server_rejects = true;
  auto& to = *fleet.members.front();
  for (int i = 0; i < 50; ++i) {
    fleet.Ask(to, "k-loud");
    fleet.Ask(to, "k-free");
    fleet.Run(milliseconds(10));
  }
  fleet.Run(milliseconds(900));
  CHECK(fleet.answers["k-loud"][429] == 0);
  CHECK(fleet.answers["k-loud"][503] == 50);
  CHECK(fleet.answers["k-free"][503] == 50);
}

}  // namespace
}  // namespace jacinthspool
