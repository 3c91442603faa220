#ifndef JACINTHSPOOL_TESTS_GATEWAY_PEERED_GATEWAYS_H_
#define JACINTHSPOOL_TESTS_GATEWAY_PEERED_GATEWAYS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/gateway/peer_exchange.h"
#include "tests/gateway/fake_platform.h"

namespace jacinthspool {

/// \brief One request of a caller, whose status is counted.
struct counted_call : http1_call_listener {
  std::map<int, int>& statuses;
  std::unique_ptr<http1_call> call = {};
  int status = 0;
  std::size_t bytes = 0;  ///< Of the body.
  bool ended = false;

  explicit counted_call(std::map<int, int>& the_statuses) : statuses(the_statuses) {}
  head_action OnHead(const http1_head& head) override {
    status = head.status;
    return head_action::kAccept;
  }
  void OnBody(std::string_view part) override { bytes += part.size(); }
  void OnEnd(call_outcome end, const std::string& /*reason*/) override {
    ended = true;
    ++statuses[end == call_outcome::kWhole ? status : 0];
  }
};

/// \brief Several gateways that exchange snapshots; the first three are the seeds of all.
struct peered_gateways {
  /// A gateway, its callers, and its peers.
  struct member {
    std::string name;
    http1_client client;
    gateway router;
    std::string error;
    std::unique_ptr<http1_server> edge;
    std::unique_ptr<peer_exchange> peers;
    timer_subscription callers;

    member(peered_gateways& fleet, std::string the_name, std::string listen,
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
  std::vector<std::string> seeds;  ///< Addresses of the first gateways.
  std::vector<std::unique_ptr<member>> members;
  std::vector<std::unique_ptr<counted_call>> calls;
  std::map<int, int> statuses;  ///< Callers' answers by status.
  int sent = 0;                 ///< Requests so far.

  virtual ~peered_gateways() = default;

  /// \returns The addresses at which a gateway finds the first gateways.
  virtual std::vector<std::string> SeedsOf(std::size_t /*index*/) { return seeds; }

  /// \brief Gives a gateway that starts the configuration and the list.
  virtual void Publish(gateway& router) = 0;

  void Start(int gateways) {
    for (int i = 0; i < std::min(gateways, 3); ++i) {
      seeds.push_back(FreeAddress());
    }
    for (int i = 0; i < gateways; ++i) {
      Join();
    }
  }

  /// \brief Starts one more gateway.
  void Join() {
    members.emplace_back();
    Restart(members.size() - 1);
  }

  /// \brief Starts a gateway that was stopped, without what it knew.
  void Restart(std::size_t index) {
    members[index] = std::make_unique<member>(*this, "gateway-" + std::to_string(index),
                                              index < seeds.size() ? seeds[index] : FreeAddress(),
                                              SeedsOf(index));
    Publish(members[index]->router);
  }

  static void Publish(gateway& router, std::shared_ptr<const forward_configuration> made,
                      std::vector<backend_record> records, std::uint64_t revision) {
    router.OnConfiguration(std::move(made));
    router.OnPublisherRegained();
    router.OnBackends(std::move(records), revision);
  }

  /// \brief Sends one request, whose id begins with the name of the gateway.
  /// \param body Empty: one that no other request has.
  std::unique_ptr<http1_call> Send(member& to, const std::string& path, const std::string& headers,
                                   http1_call_listener& listener, std::string body = "") {
    if (body.empty()) {
      body = "body " + std::to_string(sent);
    }
    return callers.Start(
        {.address = "127.0.0.1:" + std::to_string(to.edge->port()),
         .bytes = "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + to.name + "." +
                  std::to_string(sent++) + "\r\n" + headers +
                  "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body},
        listener);
  }
  /// \returns The name of the gateway that has sent a request to a backend server.
  static std::string SenderOf(const http1_request& request) {
    const std::string_view id = request.head.Find("X-Request-Id").value_or("");
    return std::string(id.substr(0, id.find('.')));
  }

  std::string FreeAddress() {
    std::string error;
    const auto probe = http1_server::Listen(
        {.loop = loop, .timers = timers, .address = "127.0.0.1:0", .on_request = {}}, error);
    return "127.0.0.1:" + std::to_string(probe->port());
  }

  void Run(milliseconds time) {
    const instant start = timer_service::now();
    RunUntil(loop, [&] { return timer_service::now() - start > time; });
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_GATEWAY_PEERED_GATEWAYS_H_
