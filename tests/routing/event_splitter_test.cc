#include "jacinthspool/routing/event_splitter.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "jacinthspool/impl/time.h"

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

// Guards against a loop that stands still while it searches the same bytes again and again.
TEST_CASE("the time to split a stream is linear in its length") {
  constexpr std::size_t kLength = 1U << 20U;
  event_splitter splitter;
  std::size_t events = 0;
  const instant begun = boot_clock::now();
  SUBCASE("in very many short events") {
    std::string text;
    while (text.size() < 2 * kLength) {
      text += "a\n\n";
    }
    events = splitter.Split(text).size();
    CHECK(events == text.size() / 3);
  }
  SUBCASE("in one event that arrives in very many pieces") {
    for (std::size_t sent = 0; sent < kLength; ++sent) {
      events += splitter.Split("x").size();
    }
    CHECK(events == 0);
    CHECK(splitter.Split("\r\n\r\n").size() == 1);
  }
  CHECK(boot_clock::now() - begun < seconds(5));
}

TEST_CASE("the end of an event is found wherever the pieces are cut") {
  for (const std::string end : {"\n\n", "\r\n\r\n"}) {
    std::string text = "id: 1\ndata: a";
    text.append(end).append("id: 2\ndata: b").append(end);
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
      for (std::size_t next = cut; next <= text.size(); ++next) {
        event_splitter splitter;
        std::vector<stream_event> events = splitter.Split(text.substr(0, cut));
        for (const std::string& piece : {text.substr(cut, next - cut), text.substr(next)}) {
          for (stream_event& each : splitter.Split(piece)) {
            events.push_back(std::move(each));
          }
        }
        REQUIRE(events.size() == 2);
        CHECK(events[0].bytes + events[1].bytes == text);
        CHECK(events[1].id == 2);
      }
    }
  }
}

}  // namespace
}  // namespace jacinthspool
