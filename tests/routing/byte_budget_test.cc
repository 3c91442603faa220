#include "jacinthspool/routing/byte_budget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace jacinthspool {
namespace {

constexpr std::size_t kPiece = 64U << 10U;

/// Answers that arrive at once, and callers that read none of them.
struct unread_answers {
  byte_budget& budget;
  std::vector<std::size_t> unsent = {};

  /// \returns false when the answer is not read on.
  bool Arrive(std::size_t which) {
    if (!budget.MayReadAnswer(unsent[which])) {
      return false;
    }
    unsent[which] += kPiece;
    budget.Set(held_kind::kUnsent, budget.held(held_kind::kUnsent) + kPiece);
    return true;
  }
};

TEST_CASE("callers that read slowly share the memory, and stop nobody else's answer") {
  byte_budget budget;
  budget.SetMemoryLimit(88);
  const std::size_t limit = *budget.limit();
  unread_answers answers{budget, {0}};
  while (answers.Arrive(0)) {
  }
  // One alone gets far more than without a known limit, and leaves room.
  CHECK(answers.unsent[0] > limit / 3);
  CHECK(budget.total() < limit);

  SUBCASE("the one that holds most is the first to stop") {
    answers.unsent.push_back(0);
    while (answers.Arrive(1)) {
      CHECK_FALSE(answers.Arrive(0));
    }
    CHECK(answers.unsent[1] > limit / 6);
  }
  SUBCASE("however many they are, each goes on while it has little") {
    answers.unsent.resize(64);
    for (bool any = true; any;) {
      any = false;
      for (std::size_t i = 0; i < answers.unsent.size(); ++i) {
        any = answers.Arrive(i) || any;
      }
    }
    CHECK(budget.total() < limit + answers.unsent.size() * kPiece);
    CHECK(budget.MayReadAnswer(0));
    CHECK(*std::min_element(answers.unsent.begin(), answers.unsent.end()) > 0);
  }
  SUBCASE("an answer goes on once others have been read") {
    CHECK_FALSE(answers.Arrive(0));
    budget.Set(held_kind::kUnsent, answers.unsent[0] / 2);
    answers.unsent[0] /= 2;
    CHECK(answers.Arrive(0));
  }
}

TEST_CASE("a new large body waits only while nothing is left for it") {
  byte_budget budget;
  budget.SetMemoryLimit(88);
  const std::size_t limit = *budget.limit();
  const auto request = std::make_unique<byte_budget::holding>(budget, held_kind::kRequest);
  request->Set(limit - (1U << 20U));
  CHECK(budget.MayBeginBody(1U << 20U));
  CHECK_FALSE(budget.MayBeginBody((1U << 20U) + 1));
  request->Set(limit);
  CHECK_FALSE(budget.MayBeginBody(std::nullopt));
  CHECK(budget.MayBeginBody(4000));
  CHECK(budget.MayReadAnswer(0));

  SUBCASE("it begins once a request has ended") { request->Set(0); }
  CHECK(budget.MayBeginBody(limit + 1) == (budget.total() == 0));
}

TEST_CASE("without a known memory limit each answer has a limit of its own") {
  byte_budget budget;
  budget.Set(held_kind::kUnsent, 1U << 30U);
  CHECK(budget.MayReadAnswer(128U << 10U));
  CHECK_FALSE(budget.MayReadAnswer((128U << 10U) + 1));
  CHECK(budget.MayBeginBody(1U << 30U));
  CHECK(budget.MaxIncompleteBody() == 64U << 10U);
  budget.Set(held_kind::kIncomplete, (16U << 20U) + 1);
  CHECK(budget.MaxIncompleteBody() == 8U << 10U);
  CHECK(budget.MaxIncompleteEvent() == 8U << 10U);
}

}  // namespace
}  // namespace jacinthspool
