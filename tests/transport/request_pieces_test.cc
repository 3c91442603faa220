#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "src/transport/http1_server.h"
#include "tests/transport/any_answer.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

/// A server that counts what it hands over, and one caller of it.
struct counting_server {
  event_loop loop;
  timer_service timers{loop};
  bool answers_at_once = true;
  std::vector<std::string> targets;
  std::vector<std::string> bodies;
  std::vector<std::shared_ptr<any_answer>> pending;
  std::string error;
  std::unique_ptr<http1_server> server = http1_server::Listen(
      {.loop = loop,
       .timers = timers,
       .address = "127.0.0.1:0",
       .on_request =
           [this](const http1_request& request, http1_responder answer) {
             targets.push_back(request.head.target);
             bodies.push_back(request.body);
             pending.push_back(std::make_shared<any_answer>(std::move(answer)));
             if (answers_at_once) {
               AnswerNewest();
             }
           }},
      error);
  raw_socket caller = raw_socket::Connect(server->port());
  std::string received;
  bool open = true;

  void AnswerNewest() const { pending.back()->Reply(200, {}, "ok"); }
  void PassTime(milliseconds time) {
    const instant start = timer_service::now();
    RunUntil(loop, [&] { return timer_service::now() - start > time; });
  }
  [[nodiscard]] bool HandsOver(std::size_t count) {
    return RunUntil(loop, [&] {
      open = open && caller.Read(received);
      return targets.size() >= count;
    });
  }
};

const std::string kSized = "POST /sized HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
const std::string kChunked =
    "POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";

TEST_CASE("a request is handed over once in whatever two pieces it comes") {
  for (const std::string& text : {kSized, kChunked}) {
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
      CAPTURE(cut);
      counting_server one;
      one.caller.Write(text.substr(0, cut));
      one.PassTime(milliseconds(2));
      one.caller.Write(text.substr(cut));
      REQUIRE(one.HandsOver(1));
      one.PassTime(milliseconds(2));
      REQUIRE(one.targets.size() == 1);
      REQUIRE(one.bodies.front() == "body");
    }
  }
}

TEST_CASE("requests that are sent together are handed over once each and in order") {
  counting_server one;
  const std::vector<std::string> wanted = {"/sized", "/chunked", "/sized", "/chunked"};
  const std::string text = kSized + kChunked + kSized + kChunked;
  SUBCASE("answered at once") {
    SUBCASE("in one piece") { one.caller.Write(text); }
    SUBCASE("byte by byte") {
      for (const char byte : text) {
        one.caller.Write(std::string(1, byte));
        one.PassTime(milliseconds(0));
      }
    }
    REQUIRE(one.HandsOver(4));
  }
  SUBCASE("answered after a pause") {
    one.answers_at_once = false;
    one.caller.Write(text.substr(0, kSized.size() + 10));
    REQUIRE(one.HandsOver(1));
    one.PassTime(milliseconds(50));
    CHECK(one.targets.size() == 1);
    SUBCASE("the rest arrives before the answer") {
      one.caller.Write(text.substr(kSized.size() + 10));
      one.PassTime(milliseconds(20));
      CHECK(one.targets.size() == 1);
      one.AnswerNewest();
    }
    SUBCASE("the rest arrives with the answer") {
      one.AnswerNewest();
      one.caller.Write(text.substr(kSized.size() + 10));
    }
    for (std::size_t next = 2; next <= 4; ++next) {
      REQUIRE(one.HandsOver(next));
      one.PassTime(milliseconds(20));
      CHECK(one.targets.size() == next);
      one.AnswerNewest();
    }
  }
  one.PassTime(milliseconds(50));
  CHECK(one.targets == wanted);
  CHECK(one.bodies == std::vector<std::string>(4, "body"));
}

TEST_CASE("a request that is cut off is not handed over") {
  counting_server one;
  one.caller.Write(kSized + kSized.substr(0, kSized.size() - 1));
  REQUIRE(one.HandsOver(1));
  one.caller.Close();
  one.PassTime(milliseconds(20));
  CHECK(one.targets.size() == 1);
}

}  // namespace
}  // namespace jacinthspool
