#ifndef JACINTHSPOOL_TESTS_GATEWAY_LIMITED_FLEET_H_
#define JACINTHSPOOL_TESTS_GATEWAY_LIMITED_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/gateway/peer_exchange.h"
#include "tests/gateway/fake_platform.h"
#include "tests/limit_rule.h"

namespace jacinthspool {

/// \brief One request of a caller, whose status is counted.
struct counted_call : http1_call_listener {
  std::map<int, int>& statuses;
  std::unique_ptr<http1_call> call = {};
  int status = 0;

  explicit counted_call(std::map<int, int>& the_statuses) : statuses(the_statuses) {}
  head_action OnHead(const http1_head& head) override {
    status = head.status;
    return head_action::kAccept;
  }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd(call_outcome end, const std::string& /*reason*/) override {
    ++statuses[end == call_outcome::kWhole ? status : 0];
  }
};

/// \brief Several gateways that exchange snapshots, and one backend server that names a limit.
struct limited_fleet {
  /// A gateway, its callers, and its peers.
  struct member {
    std::string name;
    http1_client client;
    gateway router;
    std::string error;
    std::unique_ptr<http1_server> edge;
    std::unique_ptr<peer_exchange> peers;
    timer_subscription callers;
    int sent = 0;

    member(limited_fleet& fleet, std::string the_name, std::string listen,
           std::vector<std::string> seeds)
        : name(std::move(the_name)),
          client({.loop = fleet.loop, .timers = fleet.timers}),
          router({.loop = fleet.loop,
                  .timers = fleet.timers,
                  .client = client,
                  .dialect = fleet.dialect,
                  .data_centre = "dc",
                  .name = name}),
          edge(http1_server::Listen({.loop = fleet.loop,
                                     .timers = fleet.timers,
                                     .address = "127.0.0.1:0",
                                     .on_request =
                                         [this](http1_request request, http1_responder answer) {
                                           router.HandleRequest(std::move(request),
                                                                std::move(answer));
                                         }},
                                    error)),
          peers(
              std::make_unique<peer_exchange>(peer_exchange::options{.loop = fleet.loop,
                                                                     .timers = fleet.timers,
                                                                     .client = client,
                                                                     .owner = router,
                                                                     .listen = std::move(listen),
                                                                     .name = name,
                                                                     .peers = std::move(seeds)})) {
      peers->Start(error);
    }
  };

  event_loop loop;
  timer_service timers{loop};
  platform::replica_dialect dialect;
  http1_client callers{{.loop = loop, .timers = timers}};
  scripted_backend server{loop, timers, "i-0000server"};
  testing::limit_rule rule;
  std::string stated;              ///< Value of the limit in the server's answers; empty: no limit.
  std::vector<std::string> seeds;  ///< Addresses of the first gateways.
  std::vector<std::unique_ptr<member>> members;
  std::vector<std::unique_ptr<counted_call>> calls;
  std::map<int, int> statuses;  ///< Callers' answers by status.
  std::size_t violations = 0;
  std::size_t arrivals = 0;

  explicit limited_fleet(int gateways) {
    server.script = [this](const http1_request& request, any_answer& answer) {
      const std::string_view id = request.head.Find("X-Request-Id").value_or("");
      const std::string from(id.substr(0, id.find('.')));
      ++arrivals;
      violations += rule.OnArrival(from, timer_service::now()) ? 1 : 0;
      http_headers headers = scripted_backend::Genuine(request);
      if (!stated.empty()) {
        headers.emplace_back("Server-Limit", stated);
        rule.OnAnswer(from, timer_service::now());
      }
      answer.Reply(200, headers, "answer");
    };
    for (int i = 0; i < std::min(gateways, 3); ++i) {
      seeds.push_back(FreeAddress());
    }
    for (int i = 0; i < gateways; ++i) {
      Join();
    }
  }

  /// \brief Starts one more gateway; the first three are the seeds of all.
  void Join() {
    const std::size_t index = members.size();
    members.push_back(std::make_unique<member>(*this, "gateway-" + std::to_string(index),
                                               index < seeds.size() ? seeds[index] : FreeAddress(),
                                               seeds));
    Publish(members.back()->router);
  }

  std::string FreeAddress() {
    std::string error;
    const auto probe = http1_server::Listen(
        {.loop = loop, .timers = timers, .address = "127.0.0.1:0", .on_request = {}}, error);
    return "127.0.0.1:" + std::to_string(probe->port());
  }

  void Publish(gateway& router) const {
    auto made = std::make_shared<forward_configuration>();
    made->version = 1;
    made->routes.push_back({.name = "once",
                            .host = "h",
                            .prefix = "/once/",
                            .kind = request_kind::kNonIdempotent,
                            .max_attempts = 2,
                            .timeout = seconds(1),
                            .latency_objective = milliseconds(200),
                            .targets = {{.service = "plain"}}});
    made->services["plain"] = {.name = "plain"};
    router.OnConfiguration(std::move(made));
    router.OnPublisherRegained();
    router.OnBackends({{.id = server.id,
                        .service = "plain",
                        .address = server.address(),
                        .data_centre = "dc",
                        .slots = 4,
                        .published = 1}},
                      1);
  }

  /// \brief The server states that limit from now on.
  void State(const std::string& text) {
    stated = text;
    if (text.empty()) {
      rule.Lift();
    } else {
      rule.Name(std::stod(text), timer_service::now());
    }
  }

  /// \brief Sends requests to one gateway at regular intervals from now on.
  void SendEvery(member& to, milliseconds interval) {
    to.callers = timers.Every(interval, [this, &to](instant /*now*/) {
      calls.push_back(std::make_unique<counted_call>(statuses));
      calls.back()->call =
          callers.Start({.address = "127.0.0.1:" + std::to_string(to.edge->port()),
                         .bytes = "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + to.name +
                                  "." + std::to_string(to.sent++) +
                                  "\r\nX-Deadline-Ms: 600\r\nContent-Length: 4\r\n\r\nbody"},
                        *calls.back());
    });
  }

  void Run(milliseconds time) {
    const instant start = timer_service::now();
    RunUntil(loop, [&] { return timer_service::now() - start > time; });
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_GATEWAY_LIMITED_FLEET_H_
