#include "src/transport/handshake.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

#include "tests/transport/key_files.h"

namespace jacinthspool {
namespace {

/// \returns The client's reply to the server's first message.
hello AnswerOf(client_handshake& client, const message& first) {
  const handshake_step step = client.Receive(first);
  REQUIRE(std::holds_alternative<handshake_reply>(step));
  return std::get<hello>(std::get<handshake_reply>(step).reply);
}

bool IsFault(const handshake_step& step) { return std::holds_alternative<handshake_fault>(step); }

TEST_CASE("the peer handshake") {
  const key_ring keys = RingOf(std::string(64, 'a'));
  const key_ring other_keys = RingOf(std::string(64, 'b'));
  const peer_identity agent{"agent", "a1", "north", 11};
  const peer_identity entry{"entry", "e1", "south", 22};
  server_handshake server(keys, agent);
  client_handshake client(keys, entry);

  SUBCASE("with a shared key authenticates both sides") {
    const handshake_step end = server.Receive(AnswerOf(client, server.Begin()));
    REQUIRE(std::holds_alternative<handshake_done>(end));
    const auto& done = std::get<handshake_done>(end);
    CHECK(done.peer.name == "e1");
    CHECK(done.peer.incarnation == 22);
    const handshake_step last = client.Receive(*done.reply);
    REQUIRE(std::holds_alternative<handshake_done>(last));
    CHECK(std::get<handshake_done>(last).peer.name == "a1");
  }

  SUBCASE("is rejected by the server when the client has a different key") {
    client_handshake untrusted(other_keys, entry);
    CHECK(IsFault(server.Receive(AnswerOf(untrusted, server.Begin()))));
  }

  SUBCASE("is rejected by the client when the server has a different key") {
    server_handshake untrusted(other_keys, agent);
    (void)AnswerOf(client, untrusted.Begin());
    hello_accepted accepted;
    accepted.incarnation = agent.incarnation;
    accepted.proof = other_keys.Sign(std::vector<std::uint8_t>{1, 2, 3});
    CHECK(IsFault(client.Receive(accepted)));
  }

  SUBCASE("is rejected when the hello was modified in transit") {
    hello answer = AnswerOf(client, server.Begin());
    SUBCASE("its name") { answer.name = "e2"; }
    SUBCASE("its role") { answer.role = "agent"; }
    SUBCASE("its incarnation") { ++answer.incarnation; }
    SUBCASE("its nonce") { answer.nonce.front() ^= 1U; }
    SUBCASE("its proof") { answer.proof.front() ^= 1U; }
    SUBCASE("characters moved from one field to the next") {
      answer.role = "entrye";
      answer.name = "1";
    }
    SUBCASE("its protocol version") { answer.protocol = 2; }
    CHECK(IsFault(server.Receive(answer)));
  }

  SUBCASE("is rejected when a proof from an earlier connection is replayed") {
    const hello answer = AnswerOf(client, server.Begin());
    server_handshake next(keys, agent);
    CHECK(IsFault(next.Receive(answer)));
  }

  SUBCASE("is rejected when the client's own proof is reflected as the server's") {
    const hello answer = AnswerOf(client, server.Begin());
    hello_accepted reflected;
    reflected.incarnation = agent.incarnation;
    reflected.proof = answer.proof;
    CHECK(IsFault(client.Receive(reflected)));
  }

  SUBCASE("is rejected when an unexpected message is received") {
    CHECK(IsFault(server.Receive(heartbeat())));
    CHECK(IsFault(client.Receive(hello_accepted())));
    CHECK(IsFault(client.Receive(hello())));
  }

  SUBCASE("is rejected when neither side has a key") {
    const key_ring no_keys;
    server_handshake keyless_server(no_keys, agent);
    client_handshake keyless_client(no_keys, entry);
    CHECK(IsFault(keyless_server.Receive(AnswerOf(keyless_client, keyless_server.Begin()))));
  }
}

}  // namespace
}  // namespace jacinthspool
