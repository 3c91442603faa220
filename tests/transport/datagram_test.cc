#include <doctest/doctest.h>

#include "src/transport/datagram_socket.h"
#include "src/transport/socket_address.h"
#include "tests/transport/loop_until.h"

namespace jacinthspool {
namespace {

TEST_CASE("datagrams arrive whole, with the address of their sender") {
  event_loop loop;
  std::string error;
  std::vector<std::pair<std::string, std::string>> received;
  const auto bind = [&](const std::string& address) {
    return datagram_socket::Bind(
        {.loop = loop,
         .address = address,
         .on_datagram = [&](const std::string& from,
                            std::string_view bytes) { received.emplace_back(from, bytes); }},
        error);
  };
  const auto address_of = [](const datagram_socket& bound) {
    return "127.0.0.1:" + std::to_string(bound.port());
  };
  const auto first = bind("127.0.0.1:0");
  const auto second = bind("127.0.0.1:0");
  REQUIRE(first);
  REQUIRE(second);
  const std::string here = address_of(*first);
  const std::string there = address_of(*second);

  SUBCASE("up to the largest size") {
    const std::string longest(datagram_socket::kMaxBytes, 'x');
    CHECK(first->Send(there, "short"));
    CHECK(first->Send(there, longest));
    CHECK(RunUntil(loop, [&] { return received.size() == 2; }));
    CHECK(received.front() == std::pair<std::string, std::string>(here, "short"));
    CHECK(received.back().second == longest);
  }
  SUBCASE("a larger one is not sent") {
    CHECK_FALSE(first->Send(there, std::string(datagram_socket::kMaxBytes + 1, 'x')));
  }
  SUBCASE("one to a port that nobody has is lost, and the next ones are not") {
    const std::string nobody = address_of(*bind("127.0.0.1:0"));
    (void)first->Send(nobody, "lost");
    (void)first->Send(nobody, "lost");
    (void)first->Send(there, "a");
    CHECK(first->Send(there, "b"));
    CHECK(RunUntil(loop, [&] { return !received.empty() && received.back().second == "b"; }));
  }
  SUBCASE("an address in use or none is an error") {
    CHECK(bind(here) == nullptr);
    CHECK(error.find("cannot bind") != std::string::npos);
    CHECK(bind("nowhere") == nullptr);
    CHECK_FALSE(first->Send("nowhere", "x"));
  }
}

}  // namespace
}  // namespace jacinthspool
