#include "src/transport/handshake.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

#include "tests/transport/key_files.h"

namespace jacinthspool {
namespace {

/// The client's answer to the server's first message.
hello AnswerOf(client_handshake& client, const message& first) {
  const handshake_step step = client.Receive(first);
  REQUIRE(std::holds_alternative<handshake_reply>(step));
  return std::get<hello>(std::get<handshake_reply>(step).reply);
}

bool IsFault(const handshake_step& step) { return std::holds_alternative<handshake_fault>(step); }

TEST_CASE("a handshake") {
  const key_ring keys = RingOf(std::string(64, 'a'));
  const key_ring other_keys = RingOf(std::string(64, 'b'));
  const peer_identity agent{"agent", "a1", "north", 11};
  const peer_identity entry{"entry", "e1", "south", 22};
  server_handshake server(keys, agent);
  client_handshake client(keys, entry);

  SUBCASE("with one key ends with both sides known") {
    const handshake_step end = server.Receive(AnswerOf(client, server.Begin()));
    REQUIRE(std::holds_alternative<handshake_done>(end));
    const auto& done = std::get<handshake_done>(end);
    CHECK(done.peer.name == "e1");
    CHECK(done.peer.incarnation == 22);
    const handshake_step last = client.Receive(*done.reply);
    REQUIRE(std::holds_alternative<handshake_done>(last));
    CHECK(std::get<handshake_done>(last).peer.name == "a1");
  }

  SUBCASE("fails at the server when the client has another key") {
    client_handshake stranger(other_keys, entry);
    CHECK(IsFault(server.Receive(AnswerOf(stranger, server.Begin()))));
  }

  SUBCASE("fails at the client when the server has another key") {
    server_handshake stranger(other_keys, agent);
    (void)AnswerOf(client, stranger.Begin());
    hello_accepted accepted;
    accepted.incarnation = agent.incarnation;
    accepted.proof = other_keys.Sign(std::vector<std::uint8_t>{1, 2, 3});
    CHECK(IsFault(client.Receive(accepted)));
  }

  SUBCASE("fails when the hello was changed on the way") {
    hello answer = AnswerOf(client, server.Begin());
    SUBCASE("in its name") { answer.name = "e2"; }
    SUBCASE("in its role") { answer.role = "agent"; }
    SUBCASE("in its incarnation") { ++answer.incarnation; }
    SUBCASE("in its nonce") { answer.nonce.front() ^= 1U; }
    SUBCASE("in its proof") { answer.proof.front() ^= 1U; }
    SUBCASE("with characters moved between fields") {
      answer.role = "entrye";
      answer.name = "1";
    }
    SUBCASE("in its version") { answer.protocol = 2; }
    CHECK(IsFault(server.Receive(answer)));
  }

  SUBCASE("fails with a proof from an earlier connection") {
    const hello answer = AnswerOf(client, server.Begin());
    server_handshake next(keys, agent);
    CHECK(IsFault(next.Receive(answer)));
  }

  SUBCASE("fails when the client's own proof is sent back as the server's") {
    const hello answer = AnswerOf(client, server.Begin());
    hello_accepted reflected;
    reflected.incarnation = agent.incarnation;
    reflected.proof = answer.proof;
    CHECK(IsFault(client.Receive(reflected)));
  }

  SUBCASE("fails at any other message") {
    CHECK(IsFault(server.Receive(heartbeat())));
    CHECK(IsFault(client.Receive(hello_accepted())));
    CHECK(IsFault(client.Receive(hello())));
  }

  SUBCASE("fails without any key on either side") {
    const key_ring none;
    server_handshake open_server(none, agent);
    client_handshake open_client(none, entry);
    CHECK(IsFault(open_server.Receive(AnswerOf(open_client, open_server.Begin()))));
  }
}

}  // namespace
}  // namespace jacinthspool
