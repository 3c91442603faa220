#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "src/entry/caller_answer.h"

namespace jacinthspool {
namespace {

using nlohmann::json;

/// Records what a caller would receive.
struct recorded_exchange : http_exchange {
  const std::string& method() const override { return empty; }
  const std::string& target() const override { return empty; }
  const std::string& path() const override { return empty; }
  const std::string& body() const override { return empty; }
  const http_headers& headers() const override { return none; }
  std::string header(std::string_view /*name*/) const override { return {}; }
  void Reply(int code, const http_headers& sent, std::string_view text) override {
    status = code;
    reply_headers = sent;
    received += text;
    ended = true;
  }
  void StartStream(int code, const http_headers& /*sent*/) override { status = code; }
  void SendChunk(std::string_view text) override { received += text; }
  void EndStream() override { ended = true; }
  void AbortStream() override {}
  void OnCallerDisconnected(std::function<void()> /*action*/) override {}
  std::size_t queued_bytes() const override { return 0; }

  std::string empty;
  http_headers none;
  http_headers reply_headers;
  int status = 0;
  std::string received;
  bool ended = false;
};

constexpr request_id kId{.incarnation = 1, .counter = 2};

completion_format Format(completion_kind kind) {
  return {{.kind = kind, .model = "digest", .stream = true, .include_usage = true}, kId, {}};
}

/// \returns The JSON of each event before `[DONE]`.
std::vector<json> Events(const std::string& text) {
  std::vector<json> events;
  std::size_t begin = 0;
  while (text.compare(begin, 12, "data: [DONE]") != 0 && begin < text.size()) {
    const std::size_t end = text.find("\n\n", begin);
    events.push_back(json::parse(text.substr(begin + 6, end - begin - 6)));
    begin = end + 2;
  }
  return events;
}

deliver_end End() {
  return {.id = kId, .finish_reason = "length", .prompt_tokens = 3, .completion_tokens = 2};
}

TEST_CASE("a completion is formatted as in the OpenAI-compatible protocol") {
  const auto exchange = std::make_shared<recorded_exchange>();

  SUBCASE("a streamed text completion") {
    caller_answer answer(exchange, streamed_answer{.format = Format(completion_kind::kText)}, kId);
    answer.Piece("a \"quoted\"\n");
    answer.Piece("b");
    answer.End(End());
    const std::vector<json> events = Events(exchange->received);
    REQUIRE(events.size() == 4);
    CHECK(events[0]["object"] == "text_completion");
    CHECK(events[0]["choices"][0]["text"] == "a \"quoted\"\n");
    CHECK(events[2]["choices"][0]["finish_reason"] == "length");
    CHECK(events[3]["usage"]["total_tokens"] == 5);
    CHECK(exchange->received.ends_with("data: [DONE]\n\n"));
    CHECK(exchange->ended);
  }
  SUBCASE("a streamed chat completion") {
    caller_answer answer(exchange, streamed_answer{.format = Format(completion_kind::kChat)}, kId);
    answer.Piece("a");
    answer.End(End());
    const std::vector<json> events = Events(exchange->received);
    REQUIRE(events.size() == 4);
    CHECK(events[0]["choices"][0]["delta"]["role"] == "assistant");
    CHECK(events[1]["choices"][0]["delta"]["content"] == "a");
    CHECK(events[1]["object"] == "chat.completion.chunk");
    CHECK(events[2]["choices"][0]["delta"] == json::object());
  }
  SUBCASE("a chat completion in one body") {
    caller_answer answer(exchange, buffered_answer{.format = Format(completion_kind::kChat)}, kId);
    answer.Piece("a");
    answer.Piece("b");
    CHECK(exchange->received.empty());
    answer.End(End());
    const json body = json::parse(exchange->received);
    CHECK(body["object"] == "chat.completion");
    CHECK(body["choices"][0]["message"]["content"] == "ab");
    CHECK(body["usage"]["prompt_tokens"] == 3);
  }
}

TEST_CASE("the three error outcomes are reported with distinct error types") {
  const auto exchange = std::make_shared<recorded_exchange>();
  caller_answer answer(exchange, streamed_answer{.format = Format(completion_kind::kText)}, kId);
  const auto type = [&] { return json::parse(exchange->received)["error"]["type"]; };

  SUBCASE("not run: the reply has Retry-After in seconds and milliseconds") {
    const api_error error = NotRunError(
        {.id = kId, .reason = refusal_reason::kNoRoom, .retry_after = milliseconds(1200)});
    CHECK_FALSE(answer.Fail(error));
    CHECK(exchange->status == 429);
    CHECK(type() == "not_run");
    CHECK(exchange->reply_headers[1] == std::pair<std::string, std::string>{"Retry-After", "2"});
    CHECK(exchange->reply_headers[2].second == "1200");
  }
  SUBCASE("not run: draining or unavailable backend servers give status 503") {
    CHECK(NotRunError({.id = kId, .reason = refusal_reason::kLeaving}).status == 503);
    CHECK(NotRunError({.id = kId, .reason = refusal_reason::kBackendDown}).status == 503);
  }
  SUBCASE("unknown outcome gives status 504") {
    CHECK_FALSE(answer.Fail(UnknownError({.id = kId, .detail = "no proof"})));
    CHECK(exchange->status == 504);
    CHECK(type() == "outcome_unknown");
  }
  SUBCASE("incomplete: in a started stream the error is an event, and no [DONE] follows") {
    answer.Piece("a");
    CHECK(answer.Fail(FailedError({.id = kId, .detail = "lost", .retry_after = seconds(1)})));
    const std::vector<json> events = Events(exchange->received);
    REQUIRE(events.size() == 2);
    CHECK(events[1]["error"]["type"] == "incomplete");
    CHECK_FALSE(exchange->ended);
  }
}

}  // namespace
}  // namespace jacinthspool
