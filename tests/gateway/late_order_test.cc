#include <doctest/doctest.h>

#include <string>

#include "src/gateway/background_call.h"
#include "src/transport/http1_client.h"
#include "tests/transport/loop_step.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

TEST_CASE("an order that was given up is not sent after the order that followed it") {
  event_loop loop;
  stepped_timers clock;
  http1_client client({.loop = loop, .timers = clock.timers});
  background_calls orders;
  const raw_socket server = raw_socket::Listen();
  int ended = 0;
  const auto order = [&](const std::string& fence) {
    orders.Send({.loop = loop,
                 .timers = clock.timers,
                 .client = client,
                 .address = "127.0.0.1:" + std::to_string(server.port()),
                 .bytes = "POST /stage HTTP/1.1\r\nHost: h\r\nFence: " + fence + "\r\n\r\n",
                 .timeout = milliseconds(20),
                 .on_ended = [&] { ++ended; }});
  };
  order("1");
  // The kernel establishes the connection meanwhile.
  clock.FireAfter(milliseconds(20));
  REQUIRE(ended == 1);
  order("2");
  const raw_socket first = server.Accept();
  const raw_socket second = server.Accept();
  std::string of_first;
  std::string of_second;
  CHECK(RunUntil(loop, [&] {
    second.Read(of_second);
    return !first.Read(of_first) && of_second.ends_with("\r\n\r\n");
  }));
  CHECK(of_first.empty());
  CHECK(of_second.find("Fence: 2") != std::string::npos);
  CHECK(client.bytes_after_end() == 0);
}

}  // namespace
}  // namespace jacinthspool
