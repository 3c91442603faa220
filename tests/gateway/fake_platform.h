#ifndef JACINTHSPOOL_TESTS_GATEWAY_FAKE_PLATFORM_H_
#define JACINTHSPOOL_TESTS_GATEWAY_FAKE_PLATFORM_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/replica_dialect.h"
#include "src/gateway/gateway.h"
#include "src/transport/http1_server.h"
#include "tests/transport/any_answer.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {

/// \brief A backend server whose answers are scripted by the test.
struct scripted_backend {
  std::string id;
  std::vector<http1_request> requests;
  std::vector<std::shared_ptr<any_answer>> answers;
  /// Answers at once when set; otherwise the answer stays pending in `answers`.
  std::function<void(const http1_request&, any_answer&)> script = {};
  int callers_gone = 0;
  std::string error;
  std::unique_ptr<http1_server> server;

  scripted_backend(event_loop& loop, timer_service& timers, std::string the_id,
                   std::string listen = "127.0.0.1:0")
      : id(std::move(the_id)),
        server(http1_server::Listen(
            {.loop = loop,
             .timers = timers,
             .address = std::move(listen),
             .on_request =
                 [this](http1_request request, http1_responder answer) {
                   requests.push_back(std::move(request));
                   answers.push_back(std::make_shared<any_answer>(std::move(answer)));
                   answers.back()->OnCallerDisconnected([this] { ++callers_gone; });
                   if (script) {
                     script(requests.back(), *answers.back());
                   }
                 }},
            error)) {}

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(server->port());
  }

  /// \returns The headers of a genuine answer to a request.
  static http_headers Genuine(const http1_request& request) {
    return {{"X-Request-Id", std::string(request.head.Find("X-Request-Id").value_or(""))},
            {"X-Server-Stamp", "stamp"}};
  }
  static void Serve(const http1_request& request, any_answer& answer) {
    answer.Reply(200, Genuine(request), "answer");
  }
  static void Reject(const http1_request& request, any_answer& answer) {
    http_headers headers = Genuine(request);
    headers.emplace_back("X-Not-Run", "1");
    answer.Reply(503, headers, "");
  }
  static std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: token\n\n"; }
};

/// \brief A gateway with its caller-facing server, and scripted backend servers.
struct fake_platform {
  event_loop loop;
  timer_service timers{loop};
  http1_client client;
  platform::replica_dialect dialect;
  gateway router{
      {.loop = loop, .timers = timers, .client = client, .dialect = dialect, .data_centre = "dc"}};
  std::string error;
  std::unique_ptr<http1_server> edge =
      http1_server::Listen({.loop = loop,
                            .timers = timers,
                            .address = "127.0.0.1:0",
                            .on_request =
                                [this](http1_request request, http1_responder answer) {
                                  router.HandleRequest(std::move(request), std::move(answer));
                                },
                            .on_held =
                                [this](const http1_server::held_bytes& held) {
                                  router.bytes().Set(held_kind::kIncoming, held.incoming);
                                  router.bytes().Set(held_kind::kUnsent, held.unsent);
                                },
                            .may_begin_body =
                                [this](std::optional<std::uint64_t> length) {
                                  return router.bytes().MayBeginBody(length);
                                }},
                           error);
  std::vector<std::unique_ptr<scripted_backend>> backends;
  std::uint64_t revision = 0;

  fake_platform() : client({.loop = loop, .timers = timers}) {}
  /// \param client_timers For the connections to the backend servers.
  explicit fake_platform(timer_service& client_timers)
      : client({.loop = loop, .timers = client_timers}) {}

  scripted_backend& AddBackend(const std::string& service, engine_stage stage = engine_stage::kNone,
                               const std::string& software = "v1") {
    const std::string id = "i-" + std::to_string(backends.size());
    backends.push_back(std::make_unique<scripted_backend>(loop, timers, id));
    Publish(*backends.back(), service, stage, false, software);
    return *backends.back();
  }

  void Publish(const scripted_backend& backend, const std::string& service, engine_stage stage,
               bool leaving, const std::string& software = "v1") {
    router.OnBackendPut({.id = backend.id,
                         .service = service,
                         .software = software,
                         .address = backend.address(),
                         .data_centre = "dc",
                         .stage = stage,
                         .slots = 4,
                         .leaving = leaving,
                         .published = ++revision});
  }

  /// Three routes: /once/ and /again/ to service "plain", /stream/ to service "model".
  void Configure(milliseconds timeout = seconds(5), std::uint64_t version = 1) {
    auto made = std::make_shared<forward_configuration>();
    made->version = version;
    const auto add = [&](const char* prefix, request_kind kind, bool resumable,
                         const char* service) {
      made->routes.push_back({.name = prefix,
                              .host = "h",
                              .prefix = prefix,
                              .kind = kind,
                              .max_attempts = 2,
                              .timeout = timeout,
                              .latency_objective = milliseconds(300),
                              .silence_limit = seconds(2),
                              .targets = {{.service = service}},
                              .resumable = resumable});
    };
    add("/once/", request_kind::kNonIdempotent, false, "plain");
    add("/again/", request_kind::kIdempotent, false, "plain");
    add("/stream/", request_kind::kStreaming, true, "model");
    add("/brittle/", request_kind::kStreaming, false, "model");
    made->services["plain"] = {.name = "plain"};
    made->services["model"] = {
        .name = "model",
        .engine = engine_profile{
            .kv_tokens = 20000, .kv_handle_life = milliseconds(500), .longest_hold = seconds(2)}};
    router.OnConfiguration(std::move(made));
    if (version == 1) {
      router.OnBackends({}, ++revision);
    }
  }
};

/// \brief One caller of the gateway.
struct fake_caller {
  fake_platform& platform;
  raw_socket socket;
  std::string received;
  bool open = true;

  explicit fake_caller(fake_platform& the_platform)
      : platform(the_platform), socket(raw_socket::Connect(the_platform.edge->port())) {}

  void Send(const std::string& path, const std::string& headers = "") {
    socket.Write("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n" + headers +
                 "X-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody");
  }
  bool Wait(const std::function<bool()>& condition) {
    return RunUntil(platform.loop, [&] {
      open = open && socket.Read(received);
      return condition();
    });
  }
  bool Receives(std::string_view text) {
    return Wait([&] { return received.find(text) != std::string::npos || !open; }) &&
           received.find(text) != std::string::npos;
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_GATEWAY_FAKE_PLATFORM_H_
