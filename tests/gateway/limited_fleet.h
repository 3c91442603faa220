#ifndef JACINTHSPOOL_TESTS_GATEWAY_LIMITED_FLEET_H_
#define JACINTHSPOOL_TESTS_GATEWAY_LIMITED_FLEET_H_

#include <string>

#include "tests/gateway/peered_gateways.h"
#include "tests/limit_rule.h"

namespace jacinthspool {

/// \brief Several gateways that exchange snapshots, and one backend server that names a limit.
struct limited_fleet : peered_gateways {
  scripted_backend server{loop, timers, "i-0000server"};
  testing::limit_rule rule;
  std::string stated;  ///< Value of the limit in the server's answers; empty: no limit.
  std::size_t violations = 0;
  std::size_t arrivals = 0;

  explicit limited_fleet(int gateways) {
    server.script = [this](const http1_request& request, any_answer& answer) {
      const std::string from = SenderOf(request);
      ++arrivals;
      violations += rule.OnArrival(from, timer_service::now()) ? 1 : 0;
      http_headers headers = scripted_backend::Genuine(request);
      if (!stated.empty()) {
        headers.emplace_back("Server-Limit", stated);
        rule.OnAnswer(from, timer_service::now());
      }
      answer.Reply(200, headers, "answer");
    };
    Start(gateways);
  }

  void Publish(gateway& router) override {
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
    peered_gateways::Publish(router, std::move(made),
                             {{.id = server.id,
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
      calls.back()->call = Send(to, "/once/", "X-Deadline-Ms: 600\r\n", *calls.back());
    });
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_GATEWAY_LIMITED_FLEET_H_
