#ifndef JACINTHSPOOL_TESTS_TRANSPORT_UPLOADING_CLIENT_H_
#define JACINTHSPOOL_TESTS_TRANSPORT_UPLOADING_CLIENT_H_

#include <memory>
#include <optional>
#include <string>

#include "src/transport/http1_client.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {

/// \brief A client with one call, and the server's listening socket.
struct uploading_client : http1_call_listener {
  event_loop loop;
  timer_service timers{loop};
  http1_client client{{.loop = loop, .timers = timers}};
  raw_socket listener = raw_socket::Listen();
  std::unique_ptr<http1_call> call;
  std::optional<call_outcome> end;
  std::optional<int> status;
  std::string body;

  head_action OnHead(const http1_head& head) override {
    status = head.status;
    return head_action::kAccept;
  }
  void OnBody(std::string_view bytes) override { body += bytes; }
  void OnEnd(call_outcome how, const std::string& /*reason*/) override { end = how; }

  raw_socket Start(std::size_t body_bytes) {
    call = client.Start(
        {.address = "127.0.0.1:" + std::to_string(listener.port()),
         .bytes = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) +
                  "\r\n\r\n" + std::string(body_bytes, 'x'),
         .connect_timeout = seconds(1)},
        *this);
    raw_socket peer = listener.Accept();
    RunUntil(loop, [&] { return call->trace().written > 0; });
    return peer;
  }
  [[nodiscard]] bool Ends() {
    return RunUntil(loop, [&] { return end.has_value(); });
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_TRANSPORT_UPLOADING_CLIENT_H_
