#include "src/agent/engine_client.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "src/transport/http1_server.h"
#include "tests/transport/any_answer.h"
#include "tests/transport/loop_until.h"

namespace jacinthspool {
namespace {

// Guards against an order that lasts as long as its engine sends, and against the use of its answer
// after its end.
TEST_CASE("an error in an engine's stream ends the order, though the stream goes on") {
  event_loop loop;
  timer_service timers(loop);
  std::string error;
  std::shared_ptr<any_answer> stream;
  bool closed = false;
  const auto engine =
      http1_server::Listen({.loop = loop,
                            .timers = timers,
                            .address = "127.0.0.1:0",
                            .on_request =
                                [&](const http1_request& request, http1_responder answer) {
                                  if (request.head.target != "/v1/completions") {
                                    std::move(answer).Reply(200, {}, R"({"requests":[]})");
                                    return;
                                  }
                                  stream = std::make_shared<any_answer>(std::move(answer));
                                  stream->OnCallerDisconnected([&] { closed = true; });
                                  stream->Begin(200, {{"Content-Type", "text/event-stream"}});
                                  stream->Send("data: {\"error\":{}}\n\n");
                                }},
                           error);
  http_client client(loop);
  std::optional<engine_failed> failed;
  engine_client orders({.loop = loop,
                        .timers = timers,
                        .client = client,
                        .address = "127.0.0.1:" + std::to_string(engine->port()),
                        .on_event =
                            [&](const agent_event& event) {
                              if (const auto* end = std::get_if<engine_failed>(&event)) {
                                failed = *end;
                              }
                            },
                        .on_superseded = [] {}});
  const attempt_id id{.request = {.incarnation = 1, .counter = 1}, .attempt = 1};
  order_decode order{.id = id, .engine_request = "{}", .kv = {}};
  order.kv.params = "{}";
  orders.Decode(order);
  CHECK(RunUntil(loop, [&] { return failed && closed; }));
  REQUIRE(failed);
  CHECK(failed->id == id);
  CHECK(failed->ran == run_state::kRunning);
  CHECK(failed->detail == "the engine reports an error");
  CHECK_FALSE(orders.busy());
}

}  // namespace
}  // namespace jacinthspool
