#include <doctest/doctest.h>
#include <fcntl.h>

#include "src/gateway/reservation_dispatcher.h"
#include "src/gateway/snapshot_query.h"
#include "tests/gateway/bare_context.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

/// Longer than a call for a reservation or a snapshot may take.
constexpr milliseconds kTooLong = milliseconds(260);
constexpr milliseconds kTooLongForSnapshot = milliseconds(610);

/// A server whose connections the kernel establishes whenever the gateway stands still.
struct silent_listener {
  raw_socket listener = raw_socket::Listen();
  raw_socket connection{-1};
  std::string received;
  bool open = true;

  silent_listener() { fcntl(listener.descriptor(), F_SETFL, O_NONBLOCK); }
  void Look() {
    if (!connection.is_open()) {
      connection = listener.Accept();
    }
    for (std::size_t before = received.size(); connection.is_open() && open;
         before = received.size()) {
      open = connection.Read(received);
      if (received.size() == before) {
        return;
      }
    }
  }
};

struct reserving_gateway {
  bare_context gateway;
  silent_listener engine;
  reservation_dispatcher reservations{gateway.context};
  int reserved = 0;

  reserving_gateway() {
    auto configuration = std::make_shared<forward_configuration>();
    configuration->version = 1;
    gateway.context.routes.Apply(std::move(configuration));
    (void)gateway.Publish("model", engine_stage::kDecode, engine.listener.port());
    const instant soon = timer_service::now() + seconds(5);
    place = reservations.Enqueue(
        {.service = "model", .tokens = 10, .on_time_until = soon, .latest_start = soon},
        {.on_reserved = [this](const decode_reservation&) { ++reserved; },
         .on_rejected = [](std::string_view) {}});
    while (gateway.client.connections_opened() == 0) {
      gateway.clock.FireAfter(milliseconds(1));
    }
  }
  std::optional<queued_place> place;
};

TEST_CASE("a call for a reservation that got no answer in time sends nothing afterwards") {
  reserving_gateway one;
  one.gateway.clock.FireAfter(kTooLong);
  for (int i = 0; i < 5; ++i) {
    RunOnce(one.gateway.loop);
  }
  one.engine.Look();
  CHECK(one.engine.received.empty());
  CHECK(one.gateway.client.bytes_after_end() == 0);
}

TEST_CASE("a call for a reservation that got no answer in time takes none afterwards") {
  reserving_gateway one;
  while (one.engine.received.find("\r\n\r\n") == std::string::npos) {
    RunOnce(one.gateway.loop);
    one.engine.Look();
  }
  one.gateway.clock.FireAfter(kTooLong);
  // The engine learns at once that nobody will use what it reserves.
  one.engine.Look();
  CHECK_FALSE(one.engine.open);
}

TEST_CASE("a query for a snapshot that got no answer in time sends nothing afterwards") {
  bare_context gateway;
  silent_listener peer;
  int answers = 0;
  const snapshot_query query({.timers = gateway.clock.timers,
                              .client = gateway.client,
                              .address = "127.0.0.1:" + std::to_string(peer.listener.port()),
                              .gateway = "g",
                              .scope = {},
                              .on_answer = [&](const auto& /*snapshot*/) { ++answers; }});
  gateway.clock.FireAfter(kTooLongForSnapshot);
  CHECK(answers == 1);
  for (int i = 0; i < 5; ++i) {
    RunOnce(gateway.loop);
  }
  peer.Look();
  CHECK(peer.received.empty());
  CHECK(answers == 1);
}

}  // namespace
}  // namespace jacinthspool
