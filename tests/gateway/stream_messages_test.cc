#include "src/gateway/stream_messages.h"

#include <doctest/doctest.h>

#include "src/transport/datagram_socket.h"

namespace jacinthspool {
namespace {

TEST_CASE("messages about streams are decoded as they were encoded, each from one datagram") {
  const stream_origin origin{.service = std::string(200, 's'), .software = std::string(200, 'v')};
  SUBCASE("that a stream has begun") {
    const std::string bytes =
        EncodeStreamMessage(stream_told{.stream = 7, .origin = origin, .life = seconds(14)});
    CHECK(bytes.size() < datagram_socket::kMaxBytes);
    const auto message = DecodeStreamMessage(bytes);
    REQUIRE(message);
    const auto& told = std::get<stream_told>(*message);
    CHECK(told.stream == 7);
    CHECK(told.origin == origin);
    CHECK(told.life == seconds(14));
  }
  SUBCASE("a question") {
    const auto message = DecodeStreamMessage(EncodeStreamMessage(
        stream_asked{.question = 3, .stream = 7, .service = "model", .within = seconds(28)}));
    REQUIRE(message);
    const auto& asked = std::get<stream_asked>(*message);
    CHECK(asked.question == 3);
    CHECK(asked.stream == 7);
    CHECK(asked.service == "model");
    CHECK(asked.within == seconds(28));
  }
  SUBCASE("an answer") {
    for (const origin_evidence evidence :
         {origin_evidence::kNone, origin_evidence::kNoted, origin_evidence::kContested,
          origin_evidence::kOnlyVersion, origin_evidence::kSeenVersion,
          origin_evidence::kSeveral}) {
      const auto message = DecodeStreamMessage(EncodeStreamMessage(stream_answered{
          .question = 3,
          .stream = 7,
          .knowledge = {.evidence = evidence, .origin = origin, .age = milliseconds(90)}}));
      REQUIRE(message);
      const auto& answered = std::get<stream_answered>(*message);
      CHECK(answered.question == 3);
      CHECK(answered.knowledge.evidence == evidence);
      CHECK(answered.knowledge.origin == origin);
      CHECK(answered.knowledge.age == milliseconds(90));
    }
  }
  SUBCASE("other bytes are none") {
    const std::string bytes = EncodeStreamMessage(stream_told{.stream = 7, .origin = origin});
    CHECK_FALSE(DecodeStreamMessage(""));
    CHECK_FALSE(DecodeStreamMessage("no message at all"));
    for (std::size_t size = 0; size < bytes.size(); size += 8) {
      CHECK_FALSE(DecodeStreamMessage(bytes.substr(0, size)));
    }
    // Whatever a changed byte makes of it, it is decoded or refused.
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      std::string changed = bytes;
      changed[i] = static_cast<char>(changed[i] ^ 0x55);
      (void)DecodeStreamMessage(changed);
    }
  }
}

}  // namespace
}  // namespace jacinthspool
