#include "jacinthspool/impl/stream_assembler.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

using texts = std::vector<std::string>;

TEST_CASE("the pieces of an answer are delivered in order and once") {
  stream_assembler answer({.attempt = 1, .max_early = 2});
  CHECK(answer.Take(1, 0, "a") == texts{"a"});

  SUBCASE("a duplicate is ignored") {
    CHECK(answer.Take(1, 0, "a").empty());
    CHECK(answer.next_offset() == 1);
  }
  SUBCASE("an early piece is buffered until its predecessor arrives") {
    CHECK(answer.Take(1, 2, "c").empty());
    CHECK(answer.Take(1, 2, "C").empty());
    CHECK(answer.Take(1, 1, "b") == texts{"b", "c"});
  }
  SUBCASE("a piece too far ahead is dropped and sets the overflow flag") {
    CHECK(answer.Take(1, 4, "e").empty());
    CHECK(answer.overflowed());
    answer.ClearOverflow();
    CHECK_FALSE(answer.overflowed());
  }
  SUBCASE("an early end is pending until the missing pieces arrive") {
    CHECK(answer.End(1, 2));
    CHECK_FALSE(answer.complete());
    CHECK(answer.Take(1, 1, "b") == texts{"b"});
    CHECK(answer.complete());
    CHECK(answer.Take(1, 2, "c").empty());
  }
  SUBCASE("an end that contradicts the pieces is rejected") {
    CHECK_FALSE(answer.End(1, 0));
    CHECK(answer.Take(1, 2, "c").empty());
    CHECK_FALSE(answer.End(1, 2));
    CHECK(answer.End(1, 3));
    CHECK_FALSE(answer.End(1, 4));
  }
  SUBCASE("a later attempt continues at the next offset") {
    CHECK(answer.Take(1, 2, "c").empty());
    answer.Replace(2);
    CHECK(answer.Take(1, 1, "old").empty());
    CHECK_FALSE(answer.End(1, 1));
    CHECK(answer.Take(2, 1, "b") == texts{"b"});
    CHECK(answer.next_offset() == 2);
  }
}

}  // namespace
}  // namespace jacinthspool
