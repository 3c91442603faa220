#include <doctest/doctest.h>

#include "tests/process/cluster.h"
#include "tests/standins/expected_answer.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;
using standins::ExpectedAnswer;
using standins::TokensOf;

constexpr char kPrompt[] = "Loan contract 4711: three crates, Sofia to Cluj, by road.";
constexpr std::uint32_t kTokens = 12;

void CheckUsage(const json& usage, const std::string& prompt) {
  REQUIRE(usage.is_object());
  CHECK(usage.value("prompt_tokens", 0U) == TokensOf(prompt));
  CHECK(usage.value("completion_tokens", 0U) == kTokens);
  CHECK(usage.value("total_tokens", 0U) == TokensOf(prompt) + kTokens);
}

TEST_CASE("A request is served by entry, two agents and two engines as processes") {
  cluster system({});
  REQUIRE(system.Start());
  json request = {{"model", kModel}, {"prompt", kPrompt}, {"max_tokens", kTokens}};

  SUBCASE("a completion in one piece") {
    const call_ptr made = system.Complete(request);
    REQUIRE(made->Wait());
    CHECK(made->status() == 200);
    CHECK(made->Json().value("object", "") == "text_completion");
    CHECK(made->Json().value("model", "") == kModel);
    CHECK(made->Text() == ExpectedAnswer(kPrompt, kTokens));
    CHECK(made->FinishReason() == "length");
    CheckUsage(made->Usage(), kPrompt);
  }

  SUBCASE("a streamed completion") {
    request["stream"] = true;
    request["stream_options"] = {{"include_usage", true}};
    const call_ptr made = system.Complete(request);
    REQUIRE(made->Wait());
    CHECK(made->status() == 200);
    CHECK(made->Header("Content-Type").starts_with("text/event-stream"));
    CHECK(made->Text() == ExpectedAnswer(kPrompt, kTokens));
    CHECK(made->FinishReason() == "length");
    CHECK(made->SawDone());
    CheckUsage(made->Usage(), kPrompt);
  }

  SUBCASE("chats get the same answer, streamed or not") {
    json chat = {{"model", kModel},
                 {"max_tokens", kTokens},
                 {"messages", {{{"role", "user"}, {"content", kPrompt}}}}};
    const std::string prompt = standins::PromptOf(chat);
    const call_ptr whole = system.Complete(chat, 0, "/v1/chat/completions");
    REQUIRE(whole->Wait());
    CHECK(whole->status() == 200);
    CHECK(whole->Json().value("object", "") == "chat.completion");
    CHECK(whole->Text() == ExpectedAnswer(prompt, kTokens));
    CheckUsage(whole->Usage(), prompt);
    chat["stream"] = true;
    const call_ptr streamed = system.Complete(chat, 0, "/v1/chat/completions");
    REQUIRE(streamed->Wait());
    CHECK(streamed->status() == 200);
    CHECK(streamed->Text() == ExpectedAnswer(prompt, kTokens));
    CHECK(streamed->SawDone());
  }

  SUBCASE("the list of models") {
    const call_ptr made =
        Fetch(system.environment(),
              {.address = system.entry().address,
               .target = "/v1/models",
               .headers = {{"Authorization", std::string("Bearer ") + kTurnevoToken}}});
    CHECK(made->status() == 200);
    REQUIRE(made->Json()["data"].size() == 1);
    CHECK(made->Json()["data"][0].value("id", "") == kModel);
  }

  SUBCASE("a service call runs once, with the caller's method, path and body") {
    const std::string key = system.NewKey();
    const std::uint64_t before = system.Executions().value("total", 0U);
    const call_ptr made =
        system.CallService("/booking/hall-7?day=3", "{\"crates\":3}", {{"Idempotency-Key", key}});
    REQUIRE(made->Wait());
    CHECK(made->status() == 200);
    CHECK(made->Json().value("method", "") == "POST");
    CHECK(made->Json().value("target", "") == "/booking/hall-7?day=3");
    CHECK(made->Json().value("body", "") == "{\"crates\":3}");
    CHECK(system.Executions().value("total", 0U) == before + 1);
    CHECK(system.Executions()["by_key"].value(key, 0U) == 1);
  }

  SUBCASE("the entry logs the routing decision as one JSON line") {
    const call_ptr made = system.Complete(request);
    REQUIRE(made->Wait());
    CHECK(system.LogOf(system.entry().name).find("\"choice\":\"d0\",\"decision\":\"route\"") !=
          std::string::npos);
  }

  CHECK(system.WaitNothingHeld());
}

TEST_CASE("Invalid input is rejected with an error message and leaves no memory held") {
  cluster system({.limits = {{"max_body_bytes", 512U << 10U}}});
  REQUIRE(system.Start());
  const json request = {{"model", kModel}, {"prompt", kPrompt}, {"max_tokens", kTokens}};
  const std::string address = system.entry().address;
  const std::string bearer = std::string("Bearer ") + kTurnevoToken;
  int expected = 0;
  call_ptr made;

  SUBCASE("broken JSON") {
    expected = 400;
    made = Fetch(system.environment(), {.address = address,
                                        .method = "POST",
                                        .target = "/v1/completions",
                                        .headers = {{"Authorization", bearer}},
                                        .body = "{\"model\":"});
  }
  SUBCASE("a wrong token") {
    expected = 401;
    made = system.Complete(request, 0, "/v1/completions", "wrong");
  }
  SUBCASE("no token") {
    expected = 401;
    made = Fetch(system.environment(), {.address = address,
                                        .method = "POST",
                                        .target = "/v1/completions",
                                        .body = request.dump()});
  }
  SUBCASE("a pool that the team may not use") {
    expected = 403;
    made = system.Complete(request, 0, "/v1/completions", kVisitorToken);
  }
  SUBCASE("an unknown path") {
    expected = 404;
    made = system.Complete(request, 0, "/v1/poems");
  }
  SUBCASE("an unknown model") {
    expected = 404;
    json other = request;
    other["model"] = "unheard-of";
    made = system.Complete(other);
  }
  SUBCASE("a body over the limit") {
    expected = 413;
    json large = request;
    large["prompt"] = std::string(600U << 10U, 'x');
    made = system.Complete(large);
  }
  SUBCASE("a prompt larger than any backend server's memory") {
    expected = 400;
    json large = request;
    large["prompt"] = std::string(100U << 10U, 'x');
    made = system.Complete(large);
  }

  REQUIRE(made->Wait());
  CHECK(made->status() == expected);
  CHECK(made->Json()["error"].value("message", "") != "");
  CHECK(system.HeldBy(system.prefill()).empty());
  CHECK(system.HeldBy(system.decode()).empty());
}

}  // namespace
}  // namespace jacinthspool::testing
