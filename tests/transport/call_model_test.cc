#include <doctest/doctest.h>
#include <fcntl.h>
#include <rapidcheck.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/transport/http1_client.h"
#include "tests/transport/loop_step.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

constexpr milliseconds kConnectTimeout = milliseconds(2);
constexpr std::size_t kServers = 2;
constexpr int kMaxSends = 3;
/// More than the kernel's buffers of both sockets hold.
constexpr std::size_t kLongBodyBytes = 8U << 20U;

/// What a server does next with one of its connections.
enum class server_step {
  kRead,
  kReply,
  kReplyAndClose,
  kReplyInPart,
  kReplyTwice,
  kEnd,
  kReset,
  kCount
};

/// A server that reads and replies when the test says so, and remembers all bytes.
struct stepped_server {
  struct accepted {
    raw_socket socket;
    std::string received = {};
    bool open = true;
  };
  raw_socket listener = raw_socket::Listen();
  std::vector<accepted> connections;

  stepped_server() { fcntl(listener.descriptor(), F_SETFL, O_NONBLOCK); }

  void Accept() {
    raw_socket next = listener.Accept();
    if (next.is_open()) {
      connections.push_back({.socket = std::move(next)});
    }
  }

  static void Read(accepted& from) {
    for (std::size_t before = from.received.size(); from.open; before = from.received.size()) {
      from.open = from.socket.Read(from.received);
      if (from.received.size() == before) {
        return;
      }
    }
  }

  static void Do(server_step step, accepted& with) {
    constexpr std::string_view kReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    switch (step) {
      case server_step::kRead:
        Read(with);
        return;
      case server_step::kReply:
        with.socket.Write(kReply);
        return;
      case server_step::kReplyAndClose:
        with.socket.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        return;
      case server_step::kReplyInPart:
        with.socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
        return;
      case server_step::kReplyTwice:
        with.socket.Write(kReply);
        with.socket.Write(kReply);
        return;
      case server_step::kEnd:
        Read(with);
        with.socket.Close();
        with.open = false;
        return;
      case server_step::kReset:
        Read(with);
        with.socket.Reset();
        with.open = false;
        return;
      case server_step::kCount:
        return;
    }
  }
};

/// What a listener does when its call ends or its reply begins.
enum class reaction { kNone, kDestroyInHead, kSendAgainInEnd, kCount };

/// One request that must not run twice: it is sent again only after a send that did not leave.
struct once_request : http1_call_listener {
  http1_client& client;
  std::array<stepped_server, kServers>& servers;
  std::size_t number;
  std::string body;
  reaction reacts;
  std::unique_ptr<http1_call> call = {};
  int sends = 0;
  std::optional<call_outcome> end = {};
  std::vector<std::string> unsent = {};  ///< First lines of sends that were reported as unsent.
  std::size_t written = 0;               ///< By sends that have ended.

  once_request(http1_client& the_client, std::array<stepped_server, kServers>& the_servers,
               std::size_t the_number, std::size_t body_bytes, reaction reacting)
      : client(the_client),
        servers(the_servers),
        number(the_number),
        body(body_bytes, 'x'),
        reacts(reacting) {}

  [[nodiscard]] std::string FirstLine(int send) const {
    return "POST /" + std::to_string(number) + "/" + std::to_string(send) + " ";
  }

  void Send() {
    end.reset();
    ++sends;
    const stepped_server& to = servers[(number + static_cast<std::size_t>(sends)) % kServers];
    call = client.Start({.address = "127.0.0.1:" + std::to_string(to.listener.port()),
                         .bytes = FirstLine(sends) + "HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body,
                         .connect_timeout = kConnectTimeout},
                        *this);
  }

  void SendAgain() {
    const bool unsent_last = end == call_outcome::kUnsent || end == call_outcome::kRefused;
    if (unsent_last && sends < kMaxSends) {
      Send();
    }
  }

  void Abandon() {
    if (call) {
      written += end ? 0 : call->trace().written;
      call.reset();
    }
  }

  head_action OnHead(const http1_head& /*head*/) override {
    if (reacts == reaction::kDestroyInHead) {
      Abandon();
    }
    return head_action::kAccept;
  }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd(call_outcome how, const std::string& /*reason*/) override {
    end = how;
    written += call->trace().written;
    if (how == call_outcome::kUnsent || how == call_outcome::kRefused) {
      RC_ASSERT(call->trace().written == std::size_t{0});
      unsent.push_back(FirstLine(sends));
    }
    if (reacts == reaction::kSendAgainInEnd) {
      SendAgain();
    }
  }
};

/// Client, servers and requests, which are driven one event at a time.
struct call_model {
  event_loop loop;
  stepped_timers clock;
  std::array<stepped_server, kServers> servers;
  std::optional<http1_client> client{
      http1_client::options{.loop = loop, .timers = clock.timers, .max_idle_connections = 2}};
  std::vector<std::unique_ptr<once_request>> requests;

  template <typename Enum>
  static Enum Any() {
    return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(Enum::kCount)));
  }

  void Start() {
    const bool is_long = *rc::gen::inRange(0, 6) == 0;
    requests.push_back(std::make_unique<once_request>(
        *client, servers, requests.size(), is_long ? kLongBodyBytes : 4, Any<reaction>()));
    requests.back()->Send();
  }

  void StepServer() {
    stepped_server& server = servers[*rc::gen::inRange<std::size_t>(0, kServers)];
    server.Accept();
    if (!server.connections.empty()) {
      auto& with = server.connections[*rc::gen::inRange<std::size_t>(0, server.connections.size())];
      if (with.open) {
        stepped_server::Do(Any<server_step>(), with);
      }
    }
  }

  void StepRequest() {
    if (!requests.empty()) {
      once_request& one = *requests[*rc::gen::inRange<std::size_t>(0, requests.size())];
      if (*rc::gen::inRange(0, 3) == 0) {
        one.Abandon();
      } else if (one.call) {
        one.SendAgain();
      }
    }
  }

  void Step() {
    switch (*rc::gen::weightedElement<int>({{4, 0}, {6, 1}, {3, 2}, {5, 3}, {2, 4}})) {
      case 0:
        Start();
        return;
      case 1:
        RunOnce(loop);
        return;
      case 2:
        clock.FireAfter(kConnectTimeout);
        return;
      case 3:
        StepServer();
        return;
      default:
        StepRequest();
    }
  }

  /// Ends everything, and lets the servers read what is left.
  void Settle() {
    for (const auto& each : requests) {
      each->Abandon();
    }
    client.reset();
    for (int i = 0; i < 20; ++i) {
      RunOnce(loop);
    }
    for (stepped_server& server : servers) {
      for (std::size_t known = 0; known <= server.connections.size(); ++known) {
        server.Accept();
      }
      for (auto& each : server.connections) {
        for (int i = 0; each.open && i < 2000; ++i) {
          stepped_server::Read(each);
          if (each.open) {
            std::this_thread::sleep_for(milliseconds(1));
          }
        }
        RC_ASSERT_FALSE(each.open);
      }
    }
  }

  [[nodiscard]] std::size_t ConnectionsWith(const std::string& text) const {
    std::size_t count = 0;
    for (const stepped_server& server : servers) {
      for (const auto& each : server.connections) {
        count += each.received.find(text) != std::string::npos ? 1 : 0;
      }
    }
    return count;
  }

  void Check(std::uint64_t bytes_after_end) const {
    std::size_t written = 0;
    std::size_t received = 0;
    for (const auto& each : requests) {
      written += each->written;
      for (const std::string& line : each->unsent) {
        RC_ASSERT(ConnectionsWith(line) == std::size_t{0});
      }
      RC_ASSERT(ConnectionsWith("POST /" + std::to_string(each->number) + "/") <= std::size_t{1});
    }
    for (const stepped_server& server : servers) {
      for (const auto& each : server.connections) {
        received += each.received.size();
      }
    }
    RC_ASSERT(received <= written);
    RC_ASSERT(bytes_after_end == std::uint64_t{0});
  }
};

TEST_CASE(
    "in any order of events no byte is sent after an ending, and no request reaches two servers") {
  std::size_t unsent = 0;
  std::size_t sent_again = 0;
  const bool held = rc::check("calls", [&] {
    call_model model;
    const int steps = *rc::gen::inRange(5, 60);
    for (int i = 0; i < steps; ++i) {
      model.Step();
    }
    const std::uint64_t late = model.client->bytes_after_end();
    model.Settle();
    model.Check(late);
    for (const auto& each : model.requests) {
      unsent += each->unsent.size();
      sent_again += each->sends > 1 ? 1 : 0;
    }
  });
  CHECK(held);
  MESSAGE("unsent: " << unsent << ", sent again: " << sent_again);
  // Otherwise the checks above would have nothing to look at.
  CHECK(unsent > 0);
  CHECK(sent_again > 0);
}

}  // namespace
}  // namespace jacinthspool
