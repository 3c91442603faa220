#include "src/agent/completion_stream.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

using pieces = std::vector<std::string>;

TEST_CASE("the parser of a decode engine's stream returns its pieces and its end") {
  completion_stream answer;
  SUBCASE("events may be split anywhere between reads") {
    CHECK(answer.Read("data: {\"choices\":[{\"te") == pieces{});
    CHECK(answer.Read("xt\":\"a\"}]}\n") == pieces{});
    CHECK(answer.Read("\ndata: {\"choices\":[{\"text\":\"b\"}]}\r\n\r\n: note\n\n") ==
          pieces{"a", "b"});
    CHECK_FALSE(answer.complete());

    SUBCASE("an answer is complete after a finish reason and [DONE]") {
      const std::string last = R"(data: {"choices":[{"text":"","finish_reason":"stop"}],)"
                               R"("usage":{"prompt_tokens":7,"completion_tokens":2}})";
      CHECK(answer.Read(last + "\n\n") == pieces{});
      CHECK_FALSE(answer.complete());
      CHECK(answer.Read("data: [DONE]\n\n") == pieces{});
      CHECK(answer.complete());
      CHECK(answer.finish_reason() == "stop");
      CHECK(answer.prompt_tokens() == 7);
      CHECK(answer.completion_tokens() == 2);
    }
    SUBCASE("[DONE] without a finish reason does not complete the answer") {
      CHECK(answer.Read("data: [DONE]\n\n") == pieces{});
      CHECK_FALSE(answer.complete());
    }
  }
  SUBCASE("the text of a chat completion is read from the delta") {
    CHECK(answer.Read("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n") == pieces{"a"});
  }
  SUBCASE("an error event or an event that is not JSON sets the error") {
    CHECK(answer.Read("data: {\"error\":{}}\n\n") == pieces{});
    CHECK_FALSE(answer.error().empty());
    completion_stream other;
    CHECK(other.Read("data: nonsense\n\n") == pieces{});
    CHECK_FALSE(other.error().empty());
  }
  SUBCASE("an event without end sets the error, and nothing more is kept") {
    const std::string bytes(4096, 'x');
    std::size_t sent = 0;
    const auto send = [&](const std::string& piece) {
      for (sent = 0; answer.error().empty() && sent < (4U << 20U); sent += piece.size()) {
        CHECK(answer.Read(piece) == pieces{});
      }
    };
    SUBCASE("in one line") { send(bytes); }
    SUBCASE("in many lines of data") { send("data: " + bytes + "\n"); }
    CHECK(answer.error() == "an event is too long");
    CHECK(answer.Read("\n\ndata: [DONE]\n\n") == pieces{});
    CHECK_FALSE(answer.complete());
  }
}

}  // namespace
}  // namespace jacinthspool
