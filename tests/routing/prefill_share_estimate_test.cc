#include "jacinthspool/routing/prefill_share_estimate.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

constexpr double kEngineTokens = 37000;
constexpr std::uint64_t kPrompt = 3200;
constexpr std::uint64_t kOutput = 700;
constexpr double kReadRate = 0.0333;  // 3,200 tokens in 96 ms
constexpr microseconds kTokenTime = microseconds(4400);

void Play(prefill_share_estimate& balance, int requests, std::uint64_t prompt,
          std::uint64_t output) {
  for (int i = 0; i < requests; ++i) {
    balance.OnRequest("s", prompt, static_cast<double>(prompt + output), output);
    balance.OnOutput("s", output, kTokenTime * output);
  }
}

TEST_CASE("the prefill share follows from full decode memory and the wanted utilisation") {
  prefill_share_estimate balance({.prefill_utilisation = 0.7});
  CHECK_FALSE(balance.PrefillShare("s", kEngineTokens, kReadRate));
  Play(balance, 100, kPrompt, kOutput);
  const auto share = balance.PrefillShare("s", kEngineTokens, kReadRate);
  REQUIRE(share);
  // 9.5 requests fit in an engine for 3.2 s: 3 per second, which an engine prefills in 0.28 s.
  CHECK(*share == doctest::Approx(0.29).epsilon(0.05));

  SUBCASE("more memory per engine raises the prefill share") {
    CHECK(*balance.PrefillShare("s", 2 * kEngineTokens, kReadRate) > 1.5 * *share);
  }
  SUBCASE("longer answers lower the prefill share") {
    Play(balance, 300, kPrompt, 2 * kOutput);
    CHECK(*balance.PrefillShare("s", kEngineTokens, kReadRate) < 0.7 * *share);
  }
  SUBCASE("longer prompts with the same answers raise the prefill share") {
    Play(balance, 300, 3 * kPrompt, kOutput);
    CHECK(*balance.PrefillShare("s", kEngineTokens, kReadRate) > *share);
  }
  SUBCASE("slower prefill engines raise the prefill share") {
    CHECK(*balance.PrefillShare("s", kEngineTokens, kReadRate / 2) > 1.5 * *share);
  }
  SUBCASE("an unknown service, engine size or prefill rate gives no share") {
    CHECK_FALSE(balance.PrefillShare("other", kEngineTokens, kReadRate));
    CHECK_FALSE(balance.PrefillShare("s", 0, kReadRate));
    CHECK_FALSE(balance.PrefillShare("s", kEngineTokens, 0));
  }
}

TEST_CASE("too few requests give no share") {
  prefill_share_estimate balance({.min_requests = 8});
  Play(balance, 7, kPrompt, kOutput);
  CHECK_FALSE(balance.PrefillShare("s", kEngineTokens, kReadRate));
  Play(balance, 1, kPrompt, kOutput);
  CHECK(balance.PrefillShare("s", kEngineTokens, kReadRate));
}

}  // namespace
}  // namespace jacinthspool
