#include "src/agent/effect_queue.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

attempt_id Attempt(std::uint64_t counter) {
  return {.request = {.incarnation = 1, .counter = counter}, .attempt = 1};
}

TEST_CASE("a release removes the unsent order of its attempt from the queue") {
  effect_queue queue;
  queue.Add({order_prefill{.id = Attempt(1)}, order_prefill{.id = Attempt(2)}});
  queue.Add({order_release{.id = Attempt(1)}});

  CHECK(OrderedAttempt(queue.Pop()) == Attempt(2));
  REQUIRE(std::holds_alternative<order_release>(queue.front()));
  CHECK_FALSE(OrderedAttempt(queue.Pop()).has_value());
  CHECK(queue.empty());
}

}  // namespace
}  // namespace jacinthspool
