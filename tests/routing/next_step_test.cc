#include "jacinthspool/routing/next_step.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a request that must not run twice") {
  const forward_route once{.kind = request_kind::kNonIdempotent, .max_attempts = 3};

  SUBCASE("is sent again while it has not run") {
    for (const auto failure : {attempt_failure::kUnsent, attempt_failure::kNotRun}) {
      CHECK(StepAfter(once, {.last = failure, .runs = 0, .may_send_again = true}) ==
            next_step::kSendAgain);
      CHECK(StepAfter(once, {.last = failure, .runs = 0, .may_send_again = false}) ==
            next_step::kRefuse);
    }
  }
  SUBCASE("is never sent again nor refused once it may have run") {
    for (const auto failure : {attempt_failure::kLost, attempt_failure::kUnsound,
                               attempt_failure::kBrokeOff, attempt_failure::kUnsent}) {
      CHECK(StepAfter(once, {.last = failure, .runs = 1, .may_send_again = true}) ==
            next_step::kFail);
    }
  }
  SUBCASE("gets the server's own error") {
    CHECK(StepAfter(once,
                    {.last = attempt_failure::kFailedReply, .runs = 1, .may_send_again = true}) ==
          next_step::kPassReply);
  }
}

TEST_CASE("a stream that may be resumed") {
  const forward_route stream{
      .kind = request_kind::kStreaming, .max_attempts = 2, .resumable = true};

  SUBCASE("goes on at another server, as often as its route allows") {
    CHECK(StepAfter(stream, {.last = attempt_failure::kBrokeOff,
                             .runs = 1,
                             .answer_begun = true,
                             .may_send_again = true}) == next_step::kSendAgain);
    CHECK(StepAfter(stream, {.last = attempt_failure::kBrokeOff,
                             .runs = 2,
                             .answer_begun = true,
                             .may_send_again = true}) == next_step::kCut);
  }
  SUBCASE("is cut where it can't go on, and looks cut") {
    CHECK(StepAfter(stream, {.last = attempt_failure::kBrokeOff,
                             .runs = 1,
                             .answer_begun = true,
                             .may_send_again = false}) == next_step::kCut);
  }
  SUBCASE("and one that may not be resumed is cut at the first break") {
    const forward_route plain{.kind = request_kind::kStreaming, .max_attempts = 2};
    CHECK(StepAfter(plain, {.last = attempt_failure::kBrokeOff,
                            .runs = 1,
                            .answer_begun = true,
                            .may_send_again = true}) == next_step::kCut);
  }
}

}  // namespace
}  // namespace jacinthspool
