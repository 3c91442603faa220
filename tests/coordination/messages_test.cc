#include "jacinthspool/impl/messages.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>

namespace jacinthspool {
namespace {

TEST_CASE("messages are encoded as FlatBuffers") {
  SUBCASE("a start order is decoded with all its fields") {
    start_order sent;
    sent.request = {.incarnation = 7, .counter = 9};
    sent.attempt = 2;
    sent.grant = {.incarnation = 3, .counter = 4};
    sent.kv = std::make_shared<kv_handle>();
    sent.kv->params = R"({"remote_engine_id":"p1"})";
    sent.seat_in = std::chrono::milliseconds(40);

    const std::optional<message> received = Decode(Encode(sent));

    REQUIRE(received.has_value());
    const auto& order = std::get<start_order>(*received);
    CHECK(order.request == sent.request);
    CHECK(order.attempt == 2);
    CHECK(order.grant == sent.grant);
    CHECK(order.kv->params == sent.kv->params);
    CHECK(order.seat_in == std::chrono::milliseconds(40));
    CHECK(RequestOf(*received) == sent.request);
    CHECK(NameOf(*received) == "start");

    SUBCASE("a truncated message is rejected") {
      std::vector<std::uint8_t> bytes = Encode(sent);
      bytes.resize(bytes.size() / 2);
      CHECK_FALSE(Decode(bytes).has_value());
    }
  }
  SUBCASE("a heartbeat belongs to no request") { CHECK_FALSE(RequestOf(heartbeat{}).has_value()); }
  SUBCASE("arbitrary bytes are rejected") {
    constexpr std::array<std::uint8_t, 12> kNoise = {255, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11};
    CHECK_FALSE(Decode(kNoise).has_value());
  }
}

TEST_CASE("request ids have a text form") {
  const request_id id{.incarnation = 0xab12, .counter = 42};
  CHECK(ToString(id) == "ab12-42");
  SUBCASE("the text form is parsed") {
    request_id parsed;
    CHECK(ParseRequestId("ab12-42", parsed));
    CHECK(parsed == id);
  }
  SUBCASE("malformed text is rejected") {
    request_id parsed;
    CHECK_FALSE(ParseRequestId("ab12", parsed));
    CHECK_FALSE(ParseRequestId("-1", parsed));
    CHECK_FALSE(ParseRequestId("ab12-x", parsed));
  }
}

}  // namespace
}  // namespace jacinthspool
