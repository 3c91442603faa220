#include <doctest/doctest.h>
#include <fcntl.h>

#include <optional>
#include <string>

#include "src/transport/http_client.h"
#include "tests/transport/loop_step.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

struct calling_client {
  event_loop loop;
  http_client client{loop};
  raw_socket listener = raw_socket::Listen();
  std::optional<http_response> response;

  std::unique_ptr<http_call> Fetch(microseconds timeout = seconds(10)) {
    response.reset();
    return client.Fetch({.address = "127.0.0.1:" + std::to_string(listener.port()),
                         .method = "POST",
                         .target = "/x",
                         .body = "body",
                         .timeout = timeout},
                        {.on_done = [this](http_response r) { response = std::move(r); }});
  }
  std::string ReceivedBy(const raw_socket& peer) {
    std::string received;
    CHECK(RunUntil(loop, [&] { return !peer.Read(received); }));
    return received;
  }
};

TEST_CASE("no byte of a call is sent after it was cancelled or reported as never sent") {
  calling_client caller;

  SUBCASE("cancelled while its connection was being established") {
    auto call = caller.Fetch();
    call.reset();
    CHECK(caller.ReceivedBy(caller.listener.Accept()).empty());
  }
  SUBCASE("cancelled before its bytes were written to a kept connection") {
    const auto first = caller.Fetch();
    const raw_socket peer = caller.listener.Accept();
    std::string received;
    RunUntil(caller.loop, [&] {
      peer.Read(received);
      return received.ends_with("body");
    });
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    RunUntil(caller.loop, [&] { return caller.response.has_value(); });
    REQUIRE(caller.response->status == 200);
    caller.Fetch()->Cancel();
    CHECK(caller.ReceivedBy(peer).empty());
  }
  SUBCASE("never sent, as its connection was established after its time") {
    // A full backlog keeps the connection from being established until there is room.
    (void)listen(caller.listener.descriptor(), 0);
    const raw_socket filling = raw_socket::Connect(caller.listener.port());
    const auto call = caller.Fetch(milliseconds(300));
    CHECK(RunUntil(caller.loop, [&] { return caller.response.has_value(); }));
    CHECK(caller.response->never_sent);
    (void)!fcntl(caller.listener.descriptor(), F_SETFL, O_NONBLOCK);
    const raw_socket filled = caller.listener.Accept();
    std::string received;
    const instant begun = timer_service::now();
    RunUntil(caller.loop, [&] {
      const raw_socket late = caller.listener.Accept();
      if (late.is_open()) {
        late.Read(received);
      }
      return timer_service::now() - begun > milliseconds(1500);
    });
    CHECK(received.empty());
  }
}

}  // namespace
}  // namespace jacinthspool
