#include <doctest/doctest.h>

#include <string>

#include "tests/transport/uploading_client.h"

namespace jacinthspool {
namespace {

/// More than the kernel's buffers of both sockets hold.
constexpr std::size_t kLongBodyBytes = 16U << 20U;

TEST_CASE("an answer without a length is not whole if it ends before its request was sent") {
  uploading_client caller;
  raw_socket peer = caller.Start(kLongBodyBytes);
  REQUIRE(caller.call->trace().written < caller.call->trace().bytes);
  peer.Write("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\npart of the body");

  SUBCASE("by an orderly end") {
    shutdown(peer.descriptor(), SHUT_WR);
    REQUIRE(caller.Ends());
  }
  SUBCASE("by a reset that the writer meets first") {
    RunUntil(caller.loop, [&] { return !caller.body.empty(); });
    caller.call->PauseReply(true);
    peer.Close();
    RunUntil(caller.loop, [&] { return caller.end.has_value(); });
  }
  SUBCASE("by a reset that the reader meets first") {
    RunUntil(caller.loop, [&] { return !caller.body.empty(); });
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(peer.descriptor(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    peer.Close();
    REQUIRE(caller.Ends());
  }
  CHECK(caller.end == call_outcome::kCut);
}

TEST_CASE("an answer without a length is whole if it ends after its request was sent") {
  uploading_client caller;
  raw_socket peer = caller.Start(4);
  RunUntil(caller.loop, [&] { return caller.call->trace().written == caller.call->trace().bytes; });
  peer.Write("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\nthe body");
  shutdown(peer.descriptor(), SHUT_WR);
  REQUIRE(caller.Ends());
  CHECK(caller.end == call_outcome::kWhole);
  CHECK(caller.body == "the body");
}

}  // namespace
}  // namespace jacinthspool
