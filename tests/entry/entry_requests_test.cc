#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "src/entry/caller_tokens.h"
#include "src/entry/completion_request.h"
#include "src/entry/entry_settings.h"
#include "src/entry/prompt_prefix.h"
#include "src/entry/service_call.h"
#include "tests/entry/entry_settings_fixture.h"

namespace jacinthspool {
namespace {

using nlohmann::json;

struct parsed {
  completion_request completion;
  api_error error;
};

parsed Parse(const std::string& body, completion_kind kind = completion_kind::kText,
             const std::string& team = "turnevo") {
  const auto settings = TestSettings();
  parsed outcome;
  outcome.error.status = 0;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(outcome.completion,
                          ParseCompletion(body, {.settings = *settings,
                                                 .id = {.incarnation = 1, .counter = 2},
                                                 .team = team,
                                                 .workspace = {},
                                                 .kind = kind}));
        return {};
      },
      [&](const api_error& error) { outcome.error = error; }, [&] { outcome.error.status = -1; });
  return outcome;
}

TEST_CASE("a bearer token identifies the caller's team") {
  const caller_tokens tokens(*TestSettings());
  CHECK(tokens.TeamOf("Bearer secret") == "turnevo");
  CHECK(tokens.TeamOf("bearer secret") == "turnevo");
  SUBCASE("an unknown or malformed token is rejected") {
    CHECK_FALSE(tokens.TeamOf("Bearer secret2").has_value());
    CHECK_FALSE(tokens.TeamOf("Bearer ").has_value());
    CHECK_FALSE(tokens.TeamOf("secret").has_value());
    CHECK_FALSE(tokens.TeamOf("").has_value());
  }
  SUBCASE("a token that two teams list is rejected") {
    settings_snapshot both = *TestSettings();
    both.teams["stranger"] = both.teams.at("turnevo");
    CHECK_FALSE(caller_tokens(both).TeamOf("Bearer secret").has_value());
  }
}

TEST_CASE("a valid completion body is parsed") {
  SUBCASE("pools and priority come from the team's route to the model") {
    const parsed read = Parse(R"({"model":"digest","prompt":"12345678","max_tokens":7,
        "stream":true,"stream_options":{"include_usage":true},"temperature":0.5,
        "kv_transfer_params":{"remote_host":"10.0.0.1"}})");
    REQUIRE(read.error.status == 0);
    const caller_request& request = read.completion.request;
    CHECK(request.prefill_pool == "pre");
    CHECK(request.pool == "dec");
    CHECK(request.prompt_tokens == 2);
    CHECK(request.output_tokens == 7);
    CHECK(request.priority == 2);
    CHECK(request.patient);
    CHECK(read.completion.shape.stream);
    CHECK(read.completion.shape.include_usage);

    SUBCASE("the engine's request gets a seed and none of the caller's reserved fields") {
      const json engine = json::parse(request.engine_request);
      CHECK(engine["prompt"] == "12345678");
      CHECK(engine["max_tokens"] == 7);
      CHECK(engine["temperature"] == 0.5);
      CHECK(engine["seed"].is_number_unsigned());
      CHECK_FALSE(engine.contains("kv_transfer_params"));
      CHECK_FALSE(engine.contains("stream"));
    }
  }
  SUBCASE("the caller's seed is kept") {
    const parsed read = Parse(R"({"model":"digest","prompt":"x","seed":42})");
    CHECK(json::parse(read.completion.request.engine_request)["seed"] == 42);
  }
  SUBCASE("the messages of a chat are joined into one prompt") {
    const parsed read = Parse(R"({"model":"digest","messages":[
        {"role":"system","content":"be short"},
        {"role":"user","content":[{"type":"text","text":"hello"}]}]})",
                              completion_kind::kChat);
    REQUIRE(read.error.status == 0);
    CHECK(json::parse(read.completion.request.engine_request)["prompt"] ==
          "<|system|>\nbe short\n<|user|>\nhello\n<|assistant|>\n");
  }
}

TEST_CASE("an invalid completion is rejected with a specific error") {
  SUBCASE("malformed JSON") {
    const parsed read = Parse(R"({"model")");
    CHECK(read.error.status == 400);
    CHECK(read.error.code == "invalid_json");
    CHECK(Parse("[]").error.code == "invalid_json");
  }
  SUBCASE("all invalid fields are reported together") {
    const api_error error = Parse(R"({"prompt":7,"n":2,"max_tokens":101,"stream":"yes"})").error;
    CHECK(error.status == 400);
    for (const char* place : {"model:", "prompt:", "n:", "max_tokens:", "stream:"}) {
      CHECK(error.message.find(place) != std::string::npos);
    }
  }
  SUBCASE("an unknown model") {
    CHECK(Parse(R"({"model":"other","prompt":"x"})").error.status == 404);
  }
  SUBCASE("a pool that the team may not use") {
    CHECK(Parse(R"({"model":"digest","prompt":"x"})", completion_kind::kText, "stranger")
              .error.status == 403);
  }
  SUBCASE("a prompt larger than any backend server's memory") {
    const std::string prompt(std::size_t{4} * 3950, 'x');
    const api_error error = Parse(R"({"model":"digest","prompt":")" + prompt + "\"}").error;
    CHECK(error.status == 400);
    CHECK(error.code == "context_length_exceeded");
    CHECK(Parse(R"({"model":"digest","max_tokens":50,"prompt":")" + prompt + "\"}").error.status ==
          0);
  }
}

TEST_CASE("a call is matched to the route with the longest path prefix") {
  const auto settings = TestSettings();
  CHECK(FindRoute(*settings, "turnevo", "/halls/7")->name == "halls");
  CHECK(FindRoute(*settings, "turnevo", "/halls/free/7")->name == "free");
  CHECK(FindRoute(*settings, "turnevo", "/hallway") == nullptr);
  CHECK(FindRoute(*settings, "nobody", "/halls") == nullptr);
  SUBCASE("headers of the answer are forwarded except connection headers") {
    header_field type;
    type.name = "content-type";
    type.value = "text/plain";
    header_field length;
    length.name = "content-length";
    length.value = "999";
    CHECK(AnswerHeaders({type, length}) == http_headers{{"content-type", "text/plain"}});
  }
}

TEST_CASE("prompts with the same leading blocks share the hashes of these blocks") {
  const std::string head(2048, 'a');
  const auto left = PrefixHashes("turnevo", "w", head + std::string(1024, 'b'));
  const auto right = PrefixHashes("turnevo", "w", head + std::string(1500, 'c'));
  REQUIRE(left.size() == 3);
  REQUIRE(right.size() == 3);
  CHECK(left[1] == right[1]);
  CHECK(left[2] != right[2]);
  CHECK(PrefixHashes("lumanara", "w", head)[0] != left[0]);
  CHECK(PrefixHashes("turnevo", "v", head)[0] != left[0]);
  CHECK(PrefixHashes("turnevo", "w", std::string(1 << 20, 'a')).size() == 16);
}

TEST_CASE("the entry's policy contains exactly the pools that a team may use") {
  const auto settings = TestSettings();
  const entry_policy policy = PolicyFor(*settings, {.name = "e1", .data_centre = "sofia-1"});
  REQUIRE(policy.pools.size() == 3);
  CHECK(policy.pools[0].kind == work_kind::kPrefill);
  CHECK(policy.pools[2].kind == work_kind::kCall);
  CHECK(AgentsOf(*settings, policy).at("d1") == "127.0.0.1:2");
}

}  // namespace
}  // namespace jacinthspool
