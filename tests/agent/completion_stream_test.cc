#include "src/agent/completion_stream.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

using pieces = std::vector<std::string>;

TEST_CASE("a decode engine's stream becomes pieces and an end") {
  completion_stream answer;
  SUBCASE("events are put together whatever the cuts between reads") {
    CHECK(answer.Read("data: {\"choices\":[{\"te") == pieces{});
    CHECK(answer.Read("xt\":\"a\"}]}\n") == pieces{});
    CHECK(answer.Read("\ndata: {\"choices\":[{\"text\":\"b\"}]}\r\n\r\n: note\n\n") ==
          pieces{"a", "b"});
    CHECK_FALSE(answer.whole());

    SUBCASE("the end needs its reason and [DONE]") {
      const std::string last = R"(data: {"choices":[{"text":"","finish_reason":"stop"}],)"
                               R"("usage":{"prompt_tokens":7,"completion_tokens":2}})";
      CHECK(answer.Read(last + "\n\n") == pieces{});
      CHECK_FALSE(answer.whole());
      CHECK(answer.Read("data: [DONE]\n\n") == pieces{});
      CHECK(answer.whole());
      CHECK(answer.finish_reason() == "stop");
      CHECK(answer.prompt_tokens() == 7);
      CHECK(answer.completion_tokens() == 2);
    }
    SUBCASE("[DONE] alone is no proper end") {
      CHECK(answer.Read("data: [DONE]\n\n") == pieces{});
      CHECK_FALSE(answer.whole());
    }
  }
  SUBCASE("a chat has its text in the delta") {
    CHECK(answer.Read("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n") == pieces{"a"});
  }
  SUBCASE("an error in the stream, or what is no JSON, makes it a failure") {
    CHECK(answer.Read("data: {\"error\":{}}\n\n") == pieces{});
    CHECK_FALSE(answer.error().empty());
    completion_stream other;
    CHECK(other.Read("data: nonsense\n\n") == pieces{});
    CHECK_FALSE(other.error().empty());
  }
}

}  // namespace
}  // namespace jacinthspool
