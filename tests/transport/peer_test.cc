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

/// What one side of the connections was told.
struct recorder {
  peer_connection* up = nullptr;
  int ups = 0;
  std::vector<message> received;
  std::vector<std::string> downs;

  peer_handlers Handlers() {
    return {.on_up =
                [this](peer_connection& connection) {
                  up = &connection;
                  ++ups;
                },
            .on_message = [this](peer_connection&,
                                 message value) { received.push_back(std::move(value)); },
            .on_down =
                [this](peer_connection& connection, const std::string& reason) {
                  if (up == &connection) {
                    up = nullptr;
                  }
                  downs.push_back(reason);
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

TEST_CASE("two processes prove who they are") {
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

  SUBCASE("with different keys neither side comes up, until the agent knows both") {
    const temporary_file log("");
    OpenLog({.process = "test", .file = log.path()});
    peers.entry_keys = RingOf(kOtherKey);
    peers.client = peers.Connect(peers.entry.Handlers());
    REQUIRE(peers.Until([&] { return log.Text().find("peer_rejected") != std::string::npos; }));
    OpenLog({});
    CHECK(log.Text().find("proof does not verify") != std::string::npos);
    CHECK(log.Text().find(kOtherKey) == std::string::npos);
    CHECK(peers.entry.ups == 0);
    CHECK(peers.agent.ups == 0);
    CHECK(peers.client->connection() == nullptr);

    // Rotation: each learns the other's key beside its own.
    peers.agent_keys = RingOf(kOneKey + "\n" + kOtherKey);
    peers.entry_keys = RingOf(kOtherKey + "\n" + kOneKey);
    REQUIRE(peers.Until([&] { return peers.entry.ups == 1; }));
  }
}

TEST_CASE("a key file") {
  const temporary_file file("# current\n" + kOneKey + "\n\n" + kOtherKey + "\n");
  key_ring ring;
  std::string error;
  REQUIRE(ring.Load(file.path(), error));
  const std::vector<std::uint8_t> text = {1, 2, 3};
  const auto proof = ring.Sign(text);

  SUBCASE("each key verifies, the first signs") {
    CHECK(RingOf(kOneKey).Verify(text, proof));
    CHECK_FALSE(RingOf(kOtherKey).Verify(text, proof));
    CHECK(ring.Verify(text, RingOf(kOtherKey).Sign(text)));
    CHECK_FALSE(ring.Verify(std::vector<std::uint8_t>{1, 2, 4}, proof));
    CHECK_FALSE(ring.Verify(text, {}));
  }

  SUBCASE("with a fault leaves the old keys, and the fault shows no key") {
    file.Write(kOtherKey + "\n" + kOneKey + "c\n");
    CHECK_FALSE(ring.Load(file.path(), error));
    CHECK(error.find(":2:") != std::string::npos);
    CHECK(error.find("aaaa") == std::string::npos);
    CHECK(ring.Sign(text) == proof);
    CHECK_FALSE(ring.Load("/nowhere", error));
    CHECK_FALSE(ring.empty());
  }
}

TEST_CASE("messages go both ways") {
  peer_fixture peers;
  peers.BringUp();
  constexpr std::uint64_t kRequests = 100;
  constexpr std::uint64_t kPieces = 20;

  SUBCASE("on many streams at once, each in its own order") {
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

  SUBCASE("a message larger than what goes out in one turn arrives whole") {
    const std::string text((4U << 20U) - 1000, 'x');
    peers.entry.up->Send(StartedOf({22, 1}));
    REQUIRE(peers.Until([&] { return peers.agent.received.size() == 1; }));
    peers.agent.up->Send(PieceOf({22, 1}, 0, text));
    REQUIRE(peers.Until([&] { return peers.entry.received.size() == 1; }));
    CHECK(std::get<piece>(peers.entry.received.front()).text == text);
  }

  SUBCASE("after Finish from either side, messages of the request still arrive") {
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

  SUBCASE("the agent speaks first of a request that it knows from an earlier connection") {
    peers.agent.up->Send(PieceOf({22, 5}, 3, "resumed"));
    REQUIRE(peers.Until([&] { return peers.entry.received.size() == 1; }));
    CHECK(peers.entry.downs.empty());
  }

  SUBCASE("what was sent before Close still arrives") {
    peers.agent.up->Send(heartbeat());
    peers.agent.up->Close("planned");
    REQUIRE(peers.Until([&] { return peers.entry.downs.size() == 1; }));
    CHECK(peers.entry.received.size() == 1);
    CHECK(peers.agent.downs == std::vector<std::string>{"planned"});
  }
}

TEST_CASE("a connection ends") {
  peer_fixture peers;
  peers.BringUp();

  SUBCASE("and the client connects again") {
    peers.agent.up->Close("test");
    REQUIRE(peers.Until([&] { return peers.entry.ups == 2 && peers.agent.ups == 2; }));
    CHECK(peers.entry.downs.size() == 1);
    CHECK(peers.agent.downs == std::vector<std::string>{"test"});
    peers.entry.up->Send(heartbeat());
    CHECK(peers.Until([&] { return peers.agent.received.size() == 1; }));
  }

  SUBCASE("and the client connects again to a server that came back on the same port") {
    const std::string address = peers.address();
    peers.server.reset();
    REQUIRE(peers.Until([&] { return peers.entry.downs.size() == 1; }));
    peers.Listen(address, peers.agent.Handlers());
    REQUIRE(peers.server != nullptr);
    CHECK(peers.Until([&] { return peers.entry.ups == 2; }));
  }

  SUBCASE("by a handler that destroys the client") {
    recorder second;
    std::unique_ptr<peer_client> doomed;
    peer_handlers handlers = second.Handlers();
    SUBCASE("when it comes up") {
      handlers.on_up = [&](peer_connection&) { doomed.reset(); };
    }
    SUBCASE("at a message") {
      handlers.on_message = [&](peer_connection&, const message&) { doomed.reset(); };
    }
    SUBCASE("when it goes down") {
      handlers.on_up = [](peer_connection& connection) { connection.Close("own wish"); };
      handlers.on_down = [&](peer_connection&, const std::string&) { doomed.reset(); };
    }
    doomed = peers.Connect(handlers);
    REQUIRE(peers.Until([&] { return peers.agent.ups == 2 || doomed == nullptr; }));
    if (doomed != nullptr && peers.agent.up != nullptr) {
      peers.agent.up->Send(heartbeat());
    }
    CHECK(peers.Until([&] { return doomed == nullptr && peers.agent.downs.size() == 1; }));
  }

  SUBCASE("by a handler that destroys the server") {
    peers.server->StopAccepting();
    peers.entry.up->Send(heartbeat());
    const auto look = peers.timers.Every(milliseconds(1), [&](instant) {
      if (!peers.agent.received.empty()) {
        peers.server.reset();
      }
    });
    CHECK(peers.Until([&] { return peers.entry.downs.size() == 1; }));
    CHECK(peers.agent.downs.empty());
  }
}

TEST_CASE("a frozen peer does not hold up others") {
  peer_fixture peers;
  peers.BringUp();
  // The frozen entry has a loop of its own, which stands still once it is up.
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
    return frozen.up != nullptr && peers.agent.ups == 2;
  }));
  peer_connection& to_frozen = *peers.agent.up;
  REQUIRE(to_frozen.peer().name == "e2");
  constexpr std::size_t kPieceBytes = 1U << 20U;
  const std::string text(kPieceBytes, 'x');

  // Much is on its way to the frozen entry; the other one is served.
  for (std::uint64_t offset = 0; offset < 3; ++offset) {
    to_frozen.Send(PieceOf({23, 1}, offset, text));
  }
  peers.entry.up->Send(heartbeat());
  REQUIRE(peers.Until([&] { return peers.agent.received.size() == 1; }));

  // Over the bound, the frozen connection is closed, and only that.
  std::uint64_t offset = 3;
  REQUIRE(peers.Until([&] {
    if (peers.agent.downs.empty()) {
      to_frozen.Send(PieceOf({23, 1}, offset++, text));
    }
    return !peers.agent.downs.empty();
  }));
  CHECK(peers.agent.downs.front().find("queue full") != std::string::npos);
  CHECK(peers.entry.downs.empty());
}

/// Bytes of an HTTP/2 client up to the opened control stream.
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

TEST_CASE("bad bytes close their own connection only") {
  peer_fixture peers;
  peers.BringUp();
  std::string bytes;

  SUBCASE("no HTTP/2 at all") { bytes = "GET / HTTP/1.1\r\n\r\n"; }
  SUBCASE("another path") {
    bytes = ControlStreamBytes();
    bytes[bytes.size() - 1] = 'x';
  }
  SUBCASE("an envelope that does not verify") {
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

  const raw_socket stranger = raw_socket::Connect(peers.server->port());
  stranger.Write(bytes);
  std::string answer;
  CHECK(peers.Until([&] { return !stranger.Read(answer); }));
  CHECK(peers.agent.ups == 1);
  CHECK(peers.agent.downs.empty());
  peers.entry.up->Send(heartbeat());
  CHECK(peers.Until([&] { return peers.agent.received.size() == 1; }));
}

TEST_CASE("messages in a wrong place from a proved peer") {
  peer_fixture peers;
  peers.BringUp();

  SUBCASE("a second hello closes the connection") { peers.entry.up->Send(hello()); }
  SUBCASE("a message over 16 MiB closes the connection") {
    peers.entry.up->Send(PieceOf({22, 1}, 0, std::string(kMaxEnvelopeBytes, 'x')));
  }
  CHECK(peers.Until([&] { return peers.agent.downs.size() == 1; }));
  CHECK(peers.agent.received.empty());
}

TEST_CASE("the agents' port is held by one process alone") {
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

TEST_CASE("bytes changed at random close their own connections only") {
  peer_fixture peers(milliseconds(200));
  peers.BringUp();
  const int ups = peers.agent.ups;
  const std::size_t downs = peers.agent.downs.size();
  hello greeting;
  greeting.role = "entry";
  greeting.nonce.assign(32, 1);
  const std::string valid = ControlStreamBytes() + DataFrame(Framed(greeting));
  std::mt19937 random(4242);
  std::vector<raw_socket> strangers;
  for (int number = 0; number < 200; ++number) {
    std::string bytes = valid;
    for (int change = 0; change < 3; ++change) {
      // The preface stays, so that the frames are read.
      constexpr std::size_t kPrefaceBytes = 24;
      const std::size_t place = kPrefaceBytes + random() % (bytes.size() - kPrefaceBytes);
      bytes[place] = static_cast<char>(random());
    }
    strangers.push_back(raw_socket::Connect(peers.server->port()));
    strangers.back().Write(bytes);
  }
  std::string answers;
  for (const raw_socket& stranger : strangers) {
    CHECK(peers.Until([&] { return !stranger.Read(answers); }));
  }
  CHECK(peers.agent.ups == ups);
  CHECK(peers.agent.downs.size() == downs);
  peers.entry.up->Send(heartbeat());
  CHECK(peers.Until([&] { return peers.agent.received.size() == 1; }));
}

TEST_CASE("a silent connection does not hold up others") {
  peer_fixture peers(milliseconds(200));
  const raw_socket silent = raw_socket::Connect(peers.server->port());
  peers.BringUp();
  std::string answer;
  // The handshake's timeout ends it.
  CHECK(peers.Until([&] { return !silent.Read(answer); }));
  CHECK(peers.agent.downs.empty());
}

}  // namespace
}  // namespace jacinthspool
