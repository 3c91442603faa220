#include <doctest/doctest.h>
#include <poll.h>

#include <memory>
#include <optional>
#include <string>

#include "src/transport/http1_client.h"
#include "tests/transport/loop_step.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

constexpr milliseconds kConnectTimeout = milliseconds(5);
/// More than the kernel's buffers of both sockets hold.
constexpr std::size_t kLongBodyBytes = 16U << 20U;

std::string Post(std::size_t body_bytes) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n" + std::string(body_bytes, 'x');
}

/// A client whose timers fire apart from its sockets, and the server's listening socket.
struct stepped_client : http1_call_listener {
  event_loop loop;
  stepped_timers clock;
  http1_client client{{.loop = loop, .timers = clock.timers}};
  raw_socket listener = raw_socket::Listen();
  std::unique_ptr<http1_call> call;
  std::optional<call_outcome> end;

  head_action OnHead(const http1_head& /*head*/) override { return head_action::kAccept; }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd(call_outcome how, const std::string& /*reason*/) override { end = how; }

  void Start(const std::string& bytes) {
    end.reset();
    call = client.Start({.address = "127.0.0.1:" + std::to_string(listener.port()),
                         .bytes = bytes,
                         .connect_timeout = kConnectTimeout},
                        *this);
  }
  /// \returns What the server receives on its next connection until the client closes it; nothing
  /// when the client gives up before there is one.
  std::string ReceivedByNext() {
    pollfd pending{.fd = listener.descriptor(), .events = POLLIN, .revents = 0};
    return poll(&pending, 1, 100) > 0 ? ReceivedBy(listener.Accept()) : std::string();
  }
  std::string ReceivedBy(const raw_socket& peer) {
    std::string received;
    CHECK(RunUntil(loop, [&] { return !peer.Read(received); }));
    return received;
  }
};

TEST_CASE("no byte of a request is sent after its call has ended") {
  stepped_client caller;

  SUBCASE("unsent, as its connection was established when its time for that had passed") {
    caller.Start(Post(4));
    caller.clock.FireAfter(kConnectTimeout);
    REQUIRE(caller.end == call_outcome::kUnsent);
    CHECK(caller.call->trace().written == 0);
    CHECK(caller.ReceivedByNext().empty());
  }
  SUBCASE("destroyed before its connection was established") {
    caller.Start(Post(4));
    caller.call.reset();
    CHECK(caller.ReceivedByNext().empty());
    CHECK_FALSE(caller.end);
  }
  SUBCASE("destroyed before its bytes were written to a kept connection") {
    caller.Start(Post(4));
    const raw_socket peer = caller.listener.Accept();
    std::string received;
    RunUntil(caller.loop, [&] {
      peer.Read(received);
      return received.ends_with("xxxx");
    });
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    RunUntil(caller.loop, [&] { return caller.end.has_value(); });
    caller.Start(Post(4));
    CHECK(caller.call->trace().kept);
    caller.call.reset();
    CHECK(caller.ReceivedBy(peer).empty());
  }
  SUBCASE("answered or destroyed before all of it was written") {
    caller.Start(Post(kLongBodyBytes));
    const raw_socket peer = caller.listener.Accept();
    RunUntil(caller.loop, [&] { return caller.call->trace().written > 0; });
    for (int i = 0; i < 10; ++i) {
      RunOnce(caller.loop);
    }
    SUBCASE("destroyed") {}
    SUBCASE("answered") {
      peer.Write("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
      RunUntil(caller.loop, [&] { return caller.end.has_value(); });
    }
    const std::size_t written = caller.call->trace().written;
    REQUIRE(written < kLongBodyBytes);
    caller.call.reset();
    // The kernel can take more bytes from now on.
    std::string received;
    for (std::size_t before = 1; received.size() != before;) {
      before = received.size();
      peer.Read(received);
    }
    CHECK(received.size() + caller.ReceivedBy(peer).size() <= written);
  }
  CHECK(caller.client.bytes_after_end() == 0);
}

}  // namespace
}  // namespace jacinthspool
