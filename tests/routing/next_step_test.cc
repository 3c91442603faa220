#include "jacinthspool/routing/next_step.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a request that must not run twice") {
  const forward_route once{.kind = request_kind::kNonIdempotent, .max_attempts = 3};

  SUBCASE("is retried while it has not run") {
    for (const auto failure : {attempt_failure::kUnsent, attempt_failure::kNotRun}) {
      CHECK(DecideNextStep(once, {.last = failure, .runs = 0, .may_retry = true}) ==
            next_step::kSendAgain);
      CHECK(DecideNextStep(once, {.last = failure, .runs = 0, .may_retry = false}) ==
            next_step::kRefuse);
    }
  }
  SUBCASE("is neither retried nor rejected as not run once it may have run") {
    for (const auto failure : {attempt_failure::kLost, attempt_failure::kUnsound,
                               attempt_failure::kBrokeOff, attempt_failure::kUnsent}) {
      CHECK(DecideNextStep(once, {.last = failure, .runs = 1, .may_retry = true}) ==
            next_step::kFail);
    }
  }
  SUBCASE("gets the backend server's own error") {
    CHECK(DecideNextStep(once,
                         {.last = attempt_failure::kFailedReply, .runs = 1, .may_retry = true}) ==
          next_step::kPassReply);
  }
}

TEST_CASE("a stream that may be resumed") {
  const forward_route stream{
      .kind = request_kind::kStreaming, .max_attempts = 2, .resumable = true};

  SUBCASE("is resumed at another backend server, as often as its route allows") {
    CHECK(DecideNextStep(stream, {.last = attempt_failure::kBrokeOff,
                                  .runs = 1,
                                  .answer_begun = true,
                                  .may_retry = true}) == next_step::kSendAgain);
    CHECK(DecideNextStep(stream, {.last = attempt_failure::kBrokeOff,
                                  .runs = 2,
                                  .answer_begun = true,
                                  .may_retry = true}) == next_step::kCut);
  }
  SUBCASE("is truncated where it cannot be resumed") {
    CHECK(DecideNextStep(stream, {.last = attempt_failure::kBrokeOff,
                                  .runs = 1,
                                  .answer_begun = true,
                                  .may_retry = false}) == next_step::kCut);
  }
  SUBCASE("a stream that must not be resumed is truncated at the first failure") {
    const forward_route plain{.kind = request_kind::kStreaming, .max_attempts = 2};
    CHECK(DecideNextStep(plain, {.last = attempt_failure::kBrokeOff,
                                 .runs = 1,
                                 .answer_begun = true,
                                 .may_retry = true}) == next_step::kCut);
  }
}

}  // namespace
}  // namespace jacinthspool
