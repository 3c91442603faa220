#include "jacinthspool/routing/event_splitter.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a stream is split into complete events, however its bytes arrive") {
  const std::string text = "id: 1\ndata: a\n\nversion: 2\nid:2\ndata: b\n\nid: x\ndata: c\r\n\r\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    event_splitter splitter;
    std::vector<stream_event> events;
    for (std::size_t at = 0; at < text.size(); at += step) {
      for (auto& event : splitter.Split(std::string_view{text}.substr(at, step))) {
        events.push_back(std::move(event));
      }
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].bytes + events[1].bytes + events[2].bytes == text);
    CHECK(events[0].id == 1);
    CHECK(events[1].id == 2);
    CHECK_FALSE(events[2].id);
    CHECK_FALSE(splitter.inside_event());
  }

  SUBCASE("an incomplete event is not returned") {
    event_splitter splitter;
    CHECK(splitter.Split("id: 1\ndata: a\n\nid: 2\nda").size() == 1);
    CHECK(splitter.inside_event());
  }
}

}  // namespace
}  // namespace jacinthspool
