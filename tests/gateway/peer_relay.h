#ifndef JACINTHSPOOL_TESTS_GATEWAY_PEER_RELAY_H_
#define JACINTHSPOOL_TESTS_GATEWAY_PEER_RELAY_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/transport/http1_client.h"
#include "src/transport/http1_server.h"

namespace jacinthspool {

/// \brief Passes calls on to another address until it is cut.
struct peer_relay {
  struct passed_call : http1_call_listener {
    http1_responder answer;
    int status = 0;
    std::string body = {};
    bool ended = false;
    std::unique_ptr<http1_call> call = {};

    explicit passed_call(http1_responder the_answer) : answer(std::move(the_answer)) {}
    head_action OnHead(const http1_head& head) override {
      status = head.status;
      return head_action::kAccept;
    }
    void OnBody(std::string_view bytes) override { body += bytes; }
    void OnEnd(call_outcome end, const std::string& /*reason*/) override {
      ended = true;
      if (end == call_outcome::kWhole) {
        std::move(answer).Reply(status, {}, body);
      } else {
        std::move(answer).Abort();
      }
    }
  };

  http1_client& client;
  std::string target;
  bool cut = false;
  std::vector<std::unique_ptr<passed_call>> calls = {};
  std::string error = {};
  std::unique_ptr<http1_server> server;

  peer_relay(event_loop& loop, timer_service& timers, http1_client& the_client,
             std::string the_target)
      : client(the_client),
        target(std::move(the_target)),
        server(http1_server::Listen(
            {.loop = loop,
             .timers = timers,
             .address = "127.0.0.1:0",
             .on_request = [this](const http1_request& request,
                                  http1_responder answer) { Pass(request, std::move(answer)); }},
            error)) {}

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(server->port());
  }

  void Pass(const http1_request& request, http1_responder answer) {
    if (cut) {
      std::move(answer).Abort();
      return;
    }
    std::string bytes = request.head.method + " " + request.head.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.head.headers) {
      bytes.append(name).append(": ").append(value).append("\r\n");
    }
    bytes.append("\r\n").append(request.body);
    std::erase_if(calls, [](const auto& each) { return each->ended; });
    calls.push_back(std::make_unique<passed_call>(std::move(answer)));
    calls.back()->call = client.Start(
        {.address = target, .bytes = std::move(bytes), .max_body_bytes = 1U << 20U}, *calls.back());
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_GATEWAY_PEER_RELAY_H_
