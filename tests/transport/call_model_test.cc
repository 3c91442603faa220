#include <doctest/doctest.h>
#include <fcntl.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/transport/http1_client.h"
#include "tests/transport/loop_step.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

constexpr milliseconds kConnectTimeout = milliseconds(2);
constexpr std::size_t kServers = 2;
constexpr std::size_t kMaxSends = 3;
/// More than the kernel's buffers of both sockets hold.
constexpr std::size_t kLongBodyBytes = 8U << 20U;

/// What a server does next with one of its connections.
enum class server_step {
  kRead,
  kReply,
  kReplyAndClose,
  kReplyInPart,
  kReplyInPartAndEnd,
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
      case server_step::kReplyInPartAndEnd:
        Do(server_step::kReplyInPart, with);
        Do(server_step::kEnd, with);
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

/// What a listener does when it is called.
enum class reaction {
  kNone,
  kDestroyInHead,
  kDestroyInBody,
  kPauseInBody,
  kSkipFirstHead,
  kCloseInHead,
  kSendAgainInEnd,
  kNextRequestInEnd,
  kCount
};

/// What the client said of one send.
struct send_record {
  std::optional<call_outcome> end = {};  ///< Nothing: running, or destroyed.
  std::size_t written = 0;               ///< As of its end.

  [[nodiscard]] bool did_not_leave() const {
    return end == call_outcome::kUnsent || end == call_outcome::kRefused;
  }
};

/// One request that must not run twice: it is sent again only after a send that did not leave.
struct once_request : http1_call_listener {
  http1_client& client;
  std::array<std::string, kServers> addresses;
  std::size_t number;
  std::string body;
  reaction reacts;
  std::function<void()> on_whole;
  std::unique_ptr<http1_call> call = {};
  std::vector<send_record> sends = {};
  bool skipped = false;

  once_request(http1_client& the_client, std::array<std::string, kServers> the_addresses,
               std::size_t the_number, std::size_t body_bytes, reaction reacting,
               std::function<void()> when_whole)
      : client(the_client),
        addresses(std::move(the_addresses)),
        number(the_number),
        body(body_bytes, 'x'),
        reacts(reacting),
        on_whole(std::move(when_whole)) {}

  [[nodiscard]] std::string FirstLine(std::size_t send) const {
    return "POST /" + std::to_string(number) + "/" + std::to_string(send) + " ";
  }

  void Send() {
    sends.emplace_back();
    call =
        client.Start({.address = addresses[(number + sends.size()) % kServers],
                      .bytes = FirstLine(sends.size()) + "HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body,
                      .connect_timeout = kConnectTimeout},
                     *this);
  }

  void SendAgain() {
    if (call && sends.back().did_not_leave() && sends.size() < kMaxSends) {
      Send();
    }
  }

  void Abandon() {
    if (call) {
      if (!sends.back().end) {
        sends.back().written = call->trace().written;
      }
      call.reset();
    }
  }

  head_action OnHead(const http1_head& /*head*/) override {
    if (reacts == reaction::kDestroyInHead) {
      Abandon();
    }
    if (reacts == reaction::kSkipFirstHead && !std::exchange(skipped, true)) {
      return head_action::kSkip;
    }
    return reacts == reaction::kCloseInHead ? head_action::kClose : head_action::kAccept;
  }
  void OnBody(std::string_view /*bytes*/) override {
    if (reacts == reaction::kDestroyInBody) {
      Abandon();
    } else if (reacts == reaction::kPauseInBody) {
      call->PauseReply(true);
    }
  }
  void OnEnd(call_outcome how, const std::string& /*reason*/) override {
    sends.back() = {.end = how, .written = call->trace().written};
    if (reacts == reaction::kSendAgainInEnd) {
      SendAgain();
    } else if (reacts == reaction::kNextRequestInEnd && how == call_outcome::kWhole) {
      on_whole();
    }
  }
};

/// Client, servers and requests, which are driven one event at a time.
struct call_model {
  event_loop loop;
  stepped_timers clock;
  std::array<stepped_server, kServers> servers;
  std::array<std::string, kServers> addresses;
  std::optional<http1_client> client{
      http1_client::options{.loop = loop, .timers = clock.timers, .max_idle_connections = 2}};
  std::vector<std::unique_ptr<once_request>> requests;

  call_model() {
    for (std::size_t i = 0; i < kServers; ++i) {
      addresses[i] = "127.0.0.1:" + std::to_string(servers[i].listener.port());
    }
  }

  template <typename Enum>
  static Enum Any() {
    return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(Enum::kCount)));
  }

  void Add(std::size_t body_bytes, reaction reacts) {
    requests.push_back(std::make_unique<once_request>(*client, addresses, requests.size(),
                                                      body_bytes, reacts,
                                                      [this] { Add(4, reaction::kNone); }));
    requests.back()->Send();
  }

  void StartRequest() {
    const bool is_long = *rc::gen::inRange(0, 6) == 0;
    Add(is_long ? kLongBodyBytes : 4, Any<reaction>());
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
    if (requests.empty()) {
      return;
    }
    once_request& one = *requests[*rc::gen::inRange<std::size_t>(0, requests.size())];
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        one.Abandon();
        return;
      case 1:
        if (one.call) {
          one.call->PauseReply(false);
        }
        return;
      default:
        one.SendAgain();
    }
  }

  /// From now on a server accepts no connection: those that wait are reset, later ones refused.
  void CloseListener() { servers[*rc::gen::inRange<std::size_t>(0, kServers)].listener.Close(); }

  void Step() {
    switch (*rc::gen::weightedElement<int>({{8, 0}, {20, 1}, {5, 2}, {14, 3}, {5, 4}, {1, 5}})) {
      case 0:
        StartRequest();
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
      case 4:
        StepRequest();
        return;
      default:
        CloseListener();
    }
  }

  /// Ends everything, and lets the servers read what is left.
  /// \returns The number of bytes that were sent after the end of their call.
  std::uint64_t Settle() {
    for (const auto& each : requests) {
      each->Abandon();
    }
    for (int i = 0; i < 20; ++i) {
      RunOnce(loop);
    }
    const std::uint64_t late = client->bytes_after_end();
    client.reset();
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
    return late;
  }

  /// \returns How many connections have received that text.
  [[nodiscard]] std::size_t ConnectionsWith(const std::string& text) const {
    std::size_t count = 0;
    for (const stepped_server& server : servers) {
      for (const auto& each : server.connections) {
        count += each.received.find(text) != std::string::npos ? 1 : 0;
      }
    }
    return count;
  }

  /// \returns How many bytes the servers have received of each send, by its first line.
  [[nodiscard]] std::map<std::string, std::size_t> ReceivedBySend() const {
    constexpr std::string_view kBegin = "POST /";
    std::map<std::string, std::size_t> all;
    for (const stepped_server& server : servers) {
      for (const auto& each : server.connections) {
        for (std::size_t at = each.received.find(kBegin); at != std::string::npos;) {
          const std::size_t next = each.received.find(kBegin, at + 1);
          const std::size_t space = each.received.find(' ', at + kBegin.size());
          if (space != std::string::npos) {
            all[each.received.substr(at, space + 1 - at)] +=
                std::min(next, each.received.size()) - at;
          }
          at = next;
        }
      }
    }
    return all;
  }

  void Check(std::uint64_t bytes_after_end) const {
    const auto received = ReceivedBySend();
    for (const auto& each : requests) {
      for (std::size_t i = 0; i < each->sends.size(); ++i) {
        const send_record& send = each->sends[i];
        const auto found = received.find(each->FirstLine(i + 1));
        const std::size_t bytes = found == received.end() ? 0 : found->second;
        RC_ASSERT(bytes <= send.written);
        RC_ASSERT_FALSE(send.did_not_leave() && send.written > 0);
      }
      RC_ASSERT(ConnectionsWith("POST /" + std::to_string(each->number) + "/") <= std::size_t{1});
    }
    RC_ASSERT(bytes_after_end == std::uint64_t{0});
  }
};

TEST_CASE("in any order of events no byte is sent after an ending and no request runs twice") {
  std::map<call_outcome, std::size_t> ends;
  std::size_t sent_again = 0;
  const bool held = rc::check("calls", [&] {
    call_model model;
    const int steps = *rc::gen::inRange(10, 120);
    for (int i = 0; i < steps; ++i) {
      model.Step();
    }
    model.Check(model.Settle());
    for (const auto& each : model.requests) {
      sent_again += each->sends.size() > 1 ? 1 : 0;
      for (const send_record& send : each->sends) {
        if (send.end) {
          ++ends[*send.end];
        }
      }
    }
  });
  CHECK(held);
  // Otherwise the checks above would have had too little to look at.
  for (const call_outcome end :
       {call_outcome::kWhole, call_outcome::kUnsent, call_outcome::kRefused, call_outcome::kLost,
        call_outcome::kCut, call_outcome::kMalformed}) {
    MESSAGE(ToString(end) << ": " << ends[end]);
    CHECK(ends[end] > 0);
  }
  CHECK(sent_again > 0);
}

}  // namespace
}  // namespace jacinthspool
