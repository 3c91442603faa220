#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "src/transport/http1_server.h"
#include "tests/transport/any_answer.h"
#include "tests/transport/loop_step.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

/// More than the kernel's buffers of both sockets hold.
constexpr std::size_t kLongAnswerBytes = 16U << 20U;
/// More than the server reads ahead while it answers a request.
constexpr std::size_t kMuchPipelinedBytes = 512U << 10U;

std::string Post(std::string_view target, std::size_t body_bytes) {
  return "POST " + std::string(target) +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'x');
}

/// A server whose timers fire apart from its sockets, and one caller of it.
struct stepped_server {
  event_loop loop;
  stepped_timers clock;
  std::vector<http1_request> requests;
  std::vector<std::unique_ptr<any_answer>> answers;
  std::string error;
  std::unique_ptr<http1_server> server = http1_server::Listen(
      {.loop = loop,
       .timers = clock.timers,
       .address = "127.0.0.1:0",
       .on_request =
           [this](http1_request request, http1_responder answer) {
             requests.push_back(std::move(request));
             answers.push_back(std::make_unique<any_answer>(std::move(answer)));
           }},
      error);
  raw_socket caller = raw_socket::Connect(server->port());
  std::string received;

  bool Wait(const std::function<bool()>& condition) {
    return RunUntil(loop, [&] {
      caller.Read(received);
      return condition();
    });
  }
  /// Writes as much of `bytes` as the kernel takes at once.
  std::size_t WriteSome(std::string_view bytes) const {
    const ssize_t sent =
        send(caller.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }
  /// \returns Whether the connection is open once all has been read that is there.
  bool ReadAll() {
    const std::size_t quiet_reads = 20;
    bool open = true;
    for (std::size_t quiet = 0; open && quiet < quiet_reads; ++quiet) {
      const std::size_t before = received.size();
      open = caller.Read(received);
      if (received.size() > before) {
        quiet = 0;
      } else {
        std::this_thread::sleep_for(milliseconds(1));
      }
    }
    return open;
  }
};

TEST_CASE("no byte of an answer is sent once the idle connection of its caller has been closed") {
  stepped_server edge;
  edge.server->SetLimits({.idle_timeout = milliseconds(100)});
  edge.caller.Write(Post("/", 0));
  REQUIRE(RunUntil(edge.loop, [&] { return edge.answers.size() == 1; }));
  edge.answers.front()->Reply(200, {}, std::string(kLongAnswerBytes, 'a'));
  edge.clock.FireAfter(milliseconds(700));
  const bool closed = edge.server->closed();
  edge.ReadAll();
  const std::size_t taken = edge.received.size();
  REQUIRE(taken < kLongAnswerBytes);
  RunOnce(edge.loop);
  edge.ReadAll();
  CHECK((!closed || edge.received.size() == taken));
}

TEST_CASE("a request that was passed on is answered however much its caller pipelines") {
  stepped_server edge;
  bool gone = false;
  edge.caller.Write(Post("/1", 0));
  REQUIRE(edge.Wait([&] { return edge.answers.size() == 1; }));
  edge.answers.front()->OnCallerDisconnected([&] { gone = true; });
  const std::string following = Post("/2", kMuchPipelinedBytes);
  const std::string_view next = following;
  std::size_t written = 0;
  const instant begun = timer_service::now();
  edge.Wait([&] {
    written += edge.WriteSome(next.substr(written));
    return timer_service::now() - begun > milliseconds(200);
  });
  CHECK_FALSE(gone);
  edge.answers.front()->Reply(200, {}, "first");
  CHECK(edge.Wait([&] {
    written += edge.WriteSome(next.substr(written));
    return gone || edge.answers.size() == 2;
  }));
  CHECK(edge.received.ends_with("first"));
  REQUIRE(edge.requests.size() == 2);
  CHECK(edge.requests.back().body.size() == kMuchPipelinedBytes);
}

}  // namespace
}  // namespace jacinthspool
