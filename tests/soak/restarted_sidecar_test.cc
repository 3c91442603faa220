// A sidecar that was killed orders its engine as if it had not been.
#include <doctest/doctest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "jacinthspool/routing/stage_plan.h"
#include "src/transport/http1_server.h"
#include "tests/process/child_process.h"
#include "tests/process/test_environment.h"
#include "tests/soak/store_standin.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

constexpr const char* kService = "model";
constexpr std::size_t kEngines = 3;

json Configuration(int version) {
  return {{"version", version},
          {"routes", json::array()},
          {"services",
           {{{"name", kService},
             {"engine", {{"kvTokens", 60000}, {"kvHoldS", 0.5}, {"holdMs", 2000.0}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 1048576},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

struct gateway_process {
  std::string control;
  std::unique_ptr<child_process> process;
};

/// An engine that all prefill and of which the plan moves one, its sidecar, and two gateways whose
/// lists are equal but have different positions.
struct ordered_engine {
  test_environment environment;
  store_standin store{environment.loop(), environment.timers()};
  std::vector<json> orders;
  std::string error;
  std::unique_ptr<http1_server> engine =
      http1_server::Listen({.loop = environment.loop(),
                            .timers = environment.timers(),
                            .address = "127.0.0.1:0",
                            .on_request =
                                [this](const http1_request& request, http1_responder answer) {
                                  const bool order = request.head.target == "/v1/order";
                                  if (order) {
                                    orders.push_back(json::parse(request.body));
                                  }
                                  std::move(answer).Reply(order ? 202 : 404, {}, "{}");
                                }},
                           error);
  gateway_process newer;
  gateway_process older;
  std::unique_ptr<child_process> sidecar;

  ordered_engine() {
    std::vector<backend_record> records(kEngines);
    for (std::size_t i = 0; i < kEngines; ++i) {
      records[i] = {.id = "i-" + std::to_string(i), .stage = engine_stage::kPrefill};
    }
    for (const backend_record& each : records) {
      const bool moves = stage_plan({}).Change(records, each.id, std::nullopt).has_value();
      Publish(each.id,
              moves ? "127.0.0.1:" + std::to_string(engine->port()) : environment.FreeAddress());
    }
    older = StartGateway("older");
    // Any other change moves the store's position.
    store.Put("op/config", Configuration(1).dump());
    newer = StartGateway("newer");
  }

  void Publish(const std::string& id, const std::string& address) {
    store.Put("servers/" + id, json{{"service", kService},
                                    {"address", address},
                                    {"zone", "dc"},
                                    {"version", "1"},
                                    {"slots", 64},
                                    {"state", "ready"},
                                    {"stage", "prefill"},
                                    {"coldLeftMs", 0},
                                    {"seq", 1},
                                    {"born", 1700000000000}}
                                   .dump());
  }

  gateway_process StartGateway(const std::string& name) {
    gateway_process made{.control = environment.FreeAddress(), .process = nullptr};
    const std::string settings =
        environment.WriteFile(name + ".json", json{{"name", name},
                                                   {"data_centre", "dc"},
                                                   {"listen", environment.FreeAddress()},
                                                   {"peers", json::array()},
                                                   {"gateway",
                                                    {{"ready_listen", environment.FreeAddress()},
                                                     {"snapshot_listen", made.control},
                                                     {"publisher", store.address()}}}}
                                                  .dump());
    const std::string log = environment.PathOf(name + ".log");
    made.process = std::make_unique<child_process>(
        JACINTHSPOOL_BINARY, std::vector<std::string>{"gateway", "--config", settings}, log);
    REQUIRE(environment.WaitUntil(
        [&] { return ReadFile(log).find("backends_listed") != std::string::npos; }));
    return made;
  }

  void StartSidecar(const std::string& gateway) {
    sidecar.reset();
    const std::string settings = environment.WriteFile(
        "sidecar.json",
        json{{"name", "sidecar"},
             {"data_centre", "dc"},
             {"peers", {gateway}},
             {"sidecar",
              {{"engine", "127.0.0.1:" + std::to_string(engine->port())}, {"service", kService}}}}
            .dump());
    sidecar = std::make_unique<child_process>(
        JACINTHSPOOL_BINARY, std::vector<std::string>{"sidecar", "--config", settings},
        environment.PathOf("sidecar.log"));
  }

  bool HasOrders(std::size_t count) {
    return environment.WaitUntil([&] { return orders.size() >= count; });
  }
  [[nodiscard]] std::uint64_t Fence(std::size_t number) const { return orders.at(number)["fence"]; }
};

// Guards against a fencing token from the list of whichever gateway answers first.
TEST_CASE("a sidecar that is killed and started again orders with no lower fencing token") {
  ordered_engine system;
  system.StartSidecar(system.newer.control);
  REQUIRE(system.HasOrders(1));
  CHECK(system.orders[0]["stage"] == "decode");

  SUBCASE("though it asks a gateway whose list has an older position") {
    system.StartSidecar(system.older.control);
    REQUIRE(system.HasOrders(2));
    CHECK(system.Fence(1) >= system.Fence(0));
  }
  SUBCASE("though the store has come back from an older copy") {
    system.store.BackUp();
    for (int version = 2; version < 6; ++version) {
      system.store.Put("op/config", Configuration(version).dump());
    }
    system.StartSidecar(system.newer.control);
    REQUIRE(system.HasOrders(2));
    system.store.RestoreBackup();
    system.StartSidecar(system.older.control);
    REQUIRE(system.HasOrders(3));
    CHECK(system.Fence(2) >= system.Fence(1));
  }
}

// An order that cannot be proved to have no lower token is not sent.
TEST_CASE("a sidecar orders nothing while no gateway reaches the store, and then goes on") {
  ordered_engine system;
  system.store.SetBehaviour(store_standin::behaviour::kSilent);
  system.StartSidecar(system.newer.control);
  system.environment.Elapse(seconds(8));
  CHECK(system.orders.empty());
  system.store.SetBehaviour(store_standin::behaviour::kServing);
  CHECK(system.HasOrders(1));
}

}  // namespace
}  // namespace jacinthspool::testing
