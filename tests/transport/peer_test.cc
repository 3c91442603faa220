#include "src/transport/peer.h"

#include <doctest/doctest.h>
#include <event2/event.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/telemetry/log.h"
#include "src/transport/envelope_stream.h"
#include "tests/transport/key_files.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

const std::string kOneKey(64, 'a');
const std::string kOtherKey(64, 'b');

/// Records the events that one side of the connections receives.
struct recorder {
  peer_connection* up = nullptr;
  int up_count = 0;
  std::vector<message> received;
  std::vector<std::string> down_reasons;

  peer_handlers Handlers() {
    return {.on_up =
                [this](peer_connection& connection) {
                  up = &connection;
                  ++up_count;
                },
            .on_message = [this](peer_connection&,
                                 message value) { received.push_back(std::move(value)); },
            .on_down =
                [this](peer_connection& connection, const std::string& reason) {
                  if (up == &connection) {
                    up = nullptr;
                  }
                  down_reasons.push_back(reason);
                }};
  }
};

struct peer_fixture {
  event_loop loop;
  timer_service timers{loop};
  key_ring agent_keys = RingOf(kOneKey);
  key_ring entry_keys = RingOf(kOneKey);
  microseconds handshake_timeout = seconds(5);
  recorder agent;
  recorder entry;
  std::string error;
  std::unique_ptr<peer_server> server;
  std::unique_ptr<peer_client> client;

  explicit peer_fixture(microseconds timeout = seconds(5)) : handshake_timeout(timeout) {
    Listen("127.0.0.1:0", agent.Handlers());
  }

  void Listen(const std::string& address, peer_handlers handlers) {
    server = peer_server::Listen({.loop = loop,
                                  .timers = timers,
                                  .keys = agent_keys,
                                  .address = address,
                                  .identity = {"agent", "a1", "north", 11},
                                  .handlers = std::move(handlers),
                                  .max_queued_bytes = 4U << 20U,
                                  .handshake_timeout = handshake_timeout},
                                 error);
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(server->port());
  }

  std::unique_ptr<peer_client> Connect(peer_handlers handlers) {
    return std::make_unique<peer_client>(
        peer_client::options{.loop = loop,
                             .timers = timers,
                             .keys = entry_keys,
                             .address = address(),
                             .identity = {"entry", "e1", "south", 22},
                             .handlers = std::move(handlers),
                             .first_backoff = milliseconds(5),
                             .last_backoff = milliseconds(20)});
  }

  bool Until(const std::function<bool()>& condition) { return RunUntil(loop, condition); }

  void BringUp() {
    client = Connect(entry.Handlers());
    REQUIRE(Until([&] { return agent.up != nullptr && entry.up != nullptr; }));
  }
};

piece PieceOf(request_id request, std::uint64_t offset, std::string text) {
  piece value;
  value.request = request;
  value.attempt = 1;
  value.offset = offset;
  value.text = std::move(text);
  return value;
}

started StartedOf(request_id request) {
  started value;
  value.request = request;
  return value;
}

TEST_CASE("peers authenticate each other") {
  peer_fixture peers;

  SUBCASE("with the same key") {
    peers.BringUp();
    CHECK(peers.entry.up->peer().role == "agent");
    CHECK(peers.entry.up->peer().name == "a1");
    CHECK(peers.entry.up->peer().data_centre == "north");
    CHECK(peers.entry.up->peer().incarnation == 11);
    CHECK(peers.agent.up->peer().name == "e1");
    CHECK(peers.agent.up->peer().incarnation == 22);
    CHECK(peers.client->connection() == peers.entry.up);
  }

  SUBCASE("with different keys neither side comes up until both know both keys") {
    const temporary_file log("");
    OpenLog({.process = "test", .file = log.path()});
    peers.entry_keys = RingOf(kOtherKey);
    peers.client = peers.Connect(peers.entry.Handlers());
    REQUIRE(peers.Until([&] { return log.Text().find("peer_rejected") != std::string::npos; }));
    OpenLog({});
    CHECK(log.Text().find("proof does not verify") != std::string::npos);
    CHECK(log.Text().find(kOtherKey) == std::string::npos);
    CHECK(peers.entry.up_count == 0);
    CHECK(peers.agent.up_count == 0);
    CHECK(peers.client->connection() == nullptr);

    // Key rotation: each side loads the other's key in addition to its own.
    peers.agent_keys = RingOf(kOneKey + "\n" + kOtherKey);
    peers.entry_keys = RingOf(kOtherKey + "\n" + kOneKey);
    REQUIRE(peers.Until([&] { return peers.entry.up_count == 1; }));
  }
}

TEST_CASE("a key file is loaded") {
  const temporary_file file("# current\n" + kOneKey + "\n\n" + kOtherKey + "\n");
  key_ring ring;
  std::string error;
  REQUIRE(ring.Load(file.path(), error));
  const std::vector<std::uint8_t> text = {1, 2, 3};
  const auto proof = ring.Sign(text);

  SUBCASE("every key verifies and the first key signs") {
    CHECK(RingOf(kOneKey).Verify(text, proof));
    CHECK_FALSE(RingOf(kOtherKey).Verify(text, proof));
    CHECK(ring.Verify(text, RingOf(kOtherKey).Sign(text)));
    CHECK_FALSE(ring.Verify(std::vector<std::uint8_t>{1, 2, 4}, proof));
    CHECK_FALSE(ring.Verify(text, {}));
  }

  SUBCASE("a faulty file leaves the previous keys in use, and its error contains no key") {
    file.Write(kOtherKey + "\n" + kOneKey + "c\n");
    CHECK_FALSE(ring.Load(file.path(), error));
    CHECK(error.find(":2:") != std::string::npos);
    CHECK(error.find("aaaa") == std::string::npos);
    CHECK(ring.Sign(text) == proof);
    CHECK_FALSE(ring.Load("/nowhere", error));
    CHECK_FALSE(ring.empty());
  }
}

TEST_CASE("messages are delivered in both directions") {
  peer_fixture peers;
  peers.BringUp();
  constexpr std::uint64_t kRequests = 100;
  constexpr std::uint64_t kPieces = 20;

  SUBCASE("on many concurrent streams, in order on each") {
    for (std::uint64_t number = 1; number <= kRequests; ++number) {
      peers.entry.up->Send(StartedOf({22, number}));
    }
    REQUIRE(peers.Until([&] { return peers.agent.received.size() == kRequests; }));
    for (std::uint64_t offset = 0; offset < kPieces; ++offset) {
      for (std::uint64_t number = 1; number <= kRequests; ++number) {
        peers.agent.up->Send(PieceOf({22, number}, offset, "text"));
      }
    }
    REQUIRE(peers.Until([&] { return peers.entry.received.size() == kRequests * kPieces; }));
    std::vector<std::uint64_t> next(kRequests + 1, 0);
    for (const message& value : peers.entry.received) {
      const auto& part = std::get<piece>(value);
      CHECK(part.offset == next.at(part.request.counter)++);
    }
  }

  SUBCASE("a message larger than one flush can send is delivered completely") {
    const std::string text((4U << 20U) - 1000, 'x');
    peers.entry.up->Send(StartedOf({22, 1}));
    REQUIRE(peers.Until([&] { return peers.agent.received.size() == 1; }));
    peers.agent.up->Send(PieceOf({22, 1}, 0, text));
    REQUIRE(peers.Until([&] { return peers.entry.received.size() == 1; }));
    CHECK(std::get<piece>(peers.entry.received.front()).text == text);
  }

  SUBCASE("messages of a request are still delivered after Finish on either side") {
    peers.entry.up->Send(StartedOf({22, 1}));
    REQUIRE(peers.Until([&] { return peers.agent.received.size() == 1; }));
    SUBCASE("the entry finishes") { peers.entry.up->Finish({22, 1}); }
    SUBCASE("the agent finishes") { peers.agent.up->Finish({22, 1}); }
    peers.entry.up->Send(heartbeat());
    REQUIRE(peers.Until([&] { return peers.agent.received.size() == 2; }));
    peers.agent.up->Send(PieceOf({22, 1}, 0, "late"));
    peers.entry.up->Send(StartedOf({22, 1}));
    REQUIRE(peers.Until(
        [&] { return peers.entry.received.size() == 1 && peers.agent.received.size() == 3; }));
    CHECK(std::get<piece>(peers.entry.received.front()).text == "late");
  }

  SUBCASE("an agent may send the first message of a request from an earlier connection") {
    peers.agent.up->Send(PieceOf({22, 5}, 3, "resumed"));
    REQUIRE(peers.Until([&] { return peers.entry.received.size() == 1; }));
    CHECK(peers.entry.down_reasons.empty());
  }

  SUBCASE("messages sent before Close are delivered") {
    peers.agent.up->Send(heartbeat());
    peers.agent.up->Close("planned");
    REQUIRE(peers.Until([&] { return peers.entry.down_reasons.size() == 1; }));
    CHECK(peers.entry.received.size() == 1);
    CHECK(peers.agent.down_reasons == std::vector<std::string>{"planned"});
  }
}

TEST_CASE("a peer connection is closed") {
  peer_fixture peers;
  peers.BringUp();

  SUBCASE("and the client reconnects") {
    peers.agent.up->Close("test");
    REQUIRE(peers.Until([&] { return peers.entry.up_count == 2 && peers.agent.up_count == 2; }));
    CHECK(peers.entry.down_reasons.size() == 1);
    CHECK(peers.agent.down_reasons == std::vector<std::string>{"test"});
    peers.entry.up->Send(heartbeat());
    CHECK(peers.Until([&] { return peers.agent.received.size() == 1; }));
  }

  SUBCASE("and the client reconnects to a server that was restarted on the same port") {
    const std::string address = peers.address();
    peers.server.reset();
    REQUIRE(peers.Until([&] { return peers.entry.down_reasons.size() == 1; }));
    peers.Listen(address, peers.agent.Handlers());
    REQUIRE(peers.server != nullptr);
    CHECK(peers.Until([&] { return peers.entry.up_count == 2; }));
  }

  SUBCASE("by a handler that destroys the client") {
    recorder second;
    std::unique_ptr<peer_client> destroyed_client;
    peer_handlers handlers = second.Handlers();
    SUBCASE("when it comes up") {
      handlers.on_up = [&](peer_connection&) { destroyed_client.reset(); };
    }
    SUBCASE("at a message") {
      handlers.on_message = [&](peer_connection&, const message&) { destroyed_client.reset(); };
    }
    SUBCASE("when it goes down") {
      handlers.on_up = [](peer_connection& connection) { connection.Close("closed by the test"); };
      handlers.on_down = [&](peer_connection&, const std::string&) { destroyed_client.reset(); };
    }
    destroyed_client = peers.Connect(handlers);
    REQUIRE(peers.Until([&] { return peers.agent.up_count == 2 || destroyed_client == nullptr; }));
    if (destroyed_client != nullptr && peers.agent.up != nullptr) {
      peers.agent.up->Send(heartbeat());
    }
    CHECK(peers.Until(
        [&] { return destroyed_client == nullptr && peers.agent.down_reasons.size() == 1; }));
  }

  SUBCASE("by a handler that destroys the server") {
    peers.server->StopAccepting();
    peers.entry.up->Send(heartbeat());
    const auto poll = peers.timers.Every(milliseconds(1), [&](instant) {
      if (!peers.agent.received.empty()) {
        peers.server.reset();
      }
    });
    CHECK(peers.Until([&] { return peers.entry.down_reasons.size() == 1; }));
    CHECK(peers.agent.down_reasons.empty());
  }
}

TEST_CASE("a peer that stops reading does not block others") {
  peer_fixture peers;
  peers.BringUp();
  // The frozen entry has its own event loop, which is no longer run once the entry is up.
  event_loop frozen_loop;
  timer_service frozen_timers(frozen_loop);
  recorder frozen;
  const peer_client frozen_client({.loop = frozen_loop,
                                   .timers = frozen_timers,
                                   .keys = peers.entry_keys,
                                   .address = peers.address(),
                                   .identity = {"entry", "e2", "south", 23},
                                   .handlers = frozen.Handlers()});
  REQUIRE(peers.Until([&] {
    event_base_loop(frozen_loop.base(), EVLOOP_NONBLOCK);
    return frozen.up != nullptr && peers.agent.up_count == 2;
  }));
  peer_connection& to_frozen = *peers.agent.up;
  REQUIRE(to_frozen.peer().name == "e2");
  constexpr std::size_t kPieceBytes = 1U << 20U;
  const std::string text(kPieceBytes, 'x');

  // Data is pending for the frozen entry; messages of the other one are still handled.
  for (std::uint64_t offset = 0; offset < 3; ++offset) {
    to_frozen.Send(PieceOf({23, 1}, offset, text));
  }
  peers.entry.up->Send(heartbeat());
  REQUIRE(peers.Until([&] { return peers.agent.received.size() == 1; }));

  // Only the frozen connection is closed when its queue exceeds the limit.
  std::uint64_t offset = 3;
  REQUIRE(peers.Until([&] {
    if (peers.agent.down_reasons.empty()) {
      to_frozen.Send(PieceOf({23, 1}, offset++, text));
    }
    return !peers.agent.down_reasons.empty();
  }));
  CHECK(peers.agent.down_reasons.front().find("queue full") != std::string::npos);
  CHECK(peers.entry.down_reasons.empty());
}

/// \returns The bytes that an HTTP/2 client sends up to the opening of the control stream.
std::string ControlStreamBytes() {
  const auto literal = [](const std::string& name, const std::string& value) {
    return std::string(1, '\0') + static_cast<char>(name.size()) + name +
           static_cast<char>(value.size()) + value;
  };
  const std::string fields = literal(":method", "POST") + literal(":scheme", "http") +
                             literal(":authority", "a") +
                             literal(":path", "/jacinthspool/v1/control");
  const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
  std::string headers("\0\0\0\1\4\0\0\0\1", 9);
  headers[2] = static_cast<char>(fields.size());
  return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + settings + headers + fields;
}

std::string DataFrame(const std::string& payload) {
  std::string frame("\0\0\0\0\0\0\0\0\1", 9);
  frame[1] = static_cast<char>(payload.size() >> 8U);
  frame[2] = static_cast<char>(payload.size() & 0xFFU);
  return frame + payload;
}

std::string Framed(const message& value) {
  const auto envelope = Encode(value);
  const auto prefix = EnvelopePrefix(envelope.size());
  return std::string(prefix.begin(), prefix.end()) + std::string(envelope.begin(), envelope.end());
}

TEST_CASE("invalid bytes close only the connection on which they arrive") {
  peer_fixture peers;
  peers.BringUp();
  std::string bytes;

  SUBCASE("an HTTP/1.1 request") { bytes = "GET / HTTP/1.1\r\n\r\n"; }
  SUBCASE("an unknown path") {
    bytes = ControlStreamBytes();
    bytes[bytes.size() - 1] = 'x';
  }
  SUBCASE("an envelope that fails verification") {
    bytes = ControlStreamBytes() + DataFrame(std::string("\0\0\0\x10garbage garbage!", 20));
  }
  SUBCASE("an empty envelope") { bytes = ControlStreamBytes() + DataFrame(std::string(4, '\0')); }
  SUBCASE("a length over the limit") {
    bytes = ControlStreamBytes() + DataFrame("\x7F\xFF\xFF\xFF");
  }
  SUBCASE("a message before the handshake") {
    bytes = ControlStreamBytes() + DataFrame(Framed(heartbeat()));
  }
  SUBCASE("a hello without a proof") {
    hello greeting;
    greeting.role = "entry";
    greeting.name = "e9";
    greeting.nonce.assign(32, 1);
    bytes = ControlStreamBytes() + DataFrame(Framed(greeting));
  }

  const raw_socket untrusted = raw_socket::Connect(peers.server->port());
  untrusted.Write(bytes);
  std::string answer;
  CHECK(peers.Until([&] { return !untrusted.Read(answer); }));
  CHECK(peers.agent.up_count == 1);
  CHECK(peers.agent.down_reasons.empty());
  peers.entry.up->Send(heartbeat());
  CHECK(peers.Until([&] { return peers.agent.received.size() == 1; }));
}

TEST_CASE("invalid messages from an authenticated peer") {
  peer_fixture peers;
  peers.BringUp();

  SUBCASE("a second hello closes the connection") { peers.entry.up->Send(hello()); }
  SUBCASE("a message over 16 MiB closes the connection") {
    peers.entry.up->Send(PieceOf({22, 1}, 0, std::string(kMaxEnvelopeBytes, 'x')));
  }
  CHECK(peers.Until([&] { return peers.agent.down_reasons.size() == 1; }));
  CHECK(peers.agent.received.empty());
}

TEST_CASE("an agent's port is bound exclusively") {
  peer_fixture peers;
  const std::string address = peers.address();
  recorder second;
  std::string error;
  const auto other = peer_server::Listen({.loop = peers.loop,
                                          .timers = peers.timers,
                                          .keys = peers.agent_keys,
                                          .address = address,
                                          .identity = {"agent", "a2", "north", 12},
                                          .handlers = second.Handlers()},
                                         error);
  CHECK(other == nullptr);
  CHECK(error.find(address) != std::string::npos);
}

TEST_CASE("randomly corrupted bytes close only the connections on which they arrive") {
  peer_fixture peers(milliseconds(200));
  peers.BringUp();
  const int up_count = peers.agent.up_count;
  const std::size_t down_reasons = peers.agent.down_reasons.size();
  hello greeting;
  greeting.role = "entry";
  greeting.nonce.assign(32, 1);
  const std::string valid = ControlStreamBytes() + DataFrame(Framed(greeting));
  std::mt19937 random(4242);
  std::vector<raw_socket> untrusted_sockets;
  for (int number = 0; number < 200; ++number) {
    std::string bytes = valid;
    for (int change = 0; change < 3; ++change) {
      // The connection preface is unchanged, so that the frames are parsed.
      constexpr std::size_t kPrefaceBytes = 24;
      const std::size_t place = kPrefaceBytes + random() % (bytes.size() - kPrefaceBytes);
      bytes[place] = static_cast<char>(random());
    }
    untrusted_sockets.push_back(raw_socket::Connect(peers.server->port()));
    untrusted_sockets.back().Write(bytes);
  }
  std::string answers;
  for (const raw_socket& untrusted : untrusted_sockets) {
    CHECK(peers.Until([&] { return !untrusted.Read(answers); }));
  }
  CHECK(peers.agent.up_count == up_count);
  CHECK(peers.agent.down_reasons.size() == down_reasons);
  peers.entry.up->Send(heartbeat());
  CHECK(peers.Until([&] { return peers.agent.received.size() == 1; }));
}

TEST_CASE("a connection without a handshake does not block others") {
  peer_fixture peers(milliseconds(200));
  const raw_socket silent = raw_socket::Connect(peers.server->port());
  peers.BringUp();
  std::string answer;
  // The handshake timeout closes it.
  CHECK(peers.Until([&] { return !silent.Read(answer); }));
  CHECK(peers.agent.down_reasons.empty());
}

}  // namespace
}  // namespace jacinthspool
