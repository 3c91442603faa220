#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/transport/http_client.h"
#include "tests/transport/endless_server.h"
#include "tests/transport/loop_until.h"

namespace jacinthspool {
namespace {

constexpr std::size_t kMaxBody = 64U << 10U;
/// Limit of bytes that a client reads of an endless answer, kernel buffers of both sides included.
constexpr std::size_t kMaxBytesRead = 12U << 20U;

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunkedHead = kOk + "Transfer-Encoding: chunked\r\n";
const std::string kChunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";

struct reading_client {
  event_loop loop;
  http_client client{loop};
  std::optional<http_response> response;

  std::unique_ptr<http_call> Fetch(http_request request) {
    return client.Fetch(std::move(request),
                        {.on_done = [this](http_response r) { response = std::move(r); }});
  }
};

// Guards against an answer without end that takes all memory of the process that called.
TEST_CASE("an endless answer ends its call before it has taken much memory") {
  std::string beginning;
  std::string piece = std::string(4096, 'x');
  SUBCASE("in bytes that are not HTTP") {}
  SUBCASE("in a status line") { beginning = "HTTP/1.1 200 "; }
  SUBCASE("in one header") { beginning = kOk + "X-Name: "; }
  SUBCASE("in headers, one after the other") {
    beginning = kOk;
    piece = "A: b\r\n";
  }
  SUBCASE("in interim responses") { piece = "HTTP/1.1 100 Continue\r\n\r\n"; }
  SUBCASE("in a chunked body") {
    beginning = kChunkedHead + "\r\n";
    piece = kChunk;
  }
  SUBCASE("in the line with a chunk's size") {
    beginning = kChunkedHead + "\r\n";
    piece = std::string(4096, '0');
  }
  SUBCASE("in a chunk's extensions") { beginning = kChunkedHead + "\r\n5;"; }
  SUBCASE("in trailers") {
    beginning = kChunkedHead + "\r\n0\r\n";
    piece = "T: rail\r\n";
  }
  SUBCASE("in a body with a length") { beginning = kOk + "Content-Length: 1000000000000\r\n\r\n"; }
  SUBCASE("in a body that only the end of the connection delimits") { beginning = kOk + "\r\n"; }
  SUBCASE("in the body of an error") { beginning = "HTTP/1.1 500 No\r\n\r\n"; }
  endless_server server(beginning, piece);
  reading_client reader;
  const auto call = reader.Fetch({.address = server.address(), .max_body_bytes = kMaxBody});
  CHECK(RunUntil(reader.loop, [&] {
    server.Step();
    return reader.response && server.closed == 1;
  }));
  REQUIRE(reader.response);
  CHECK(reader.response->status == 0);
  CHECK_FALSE(reader.response->error.empty());
  CHECK_FALSE(reader.response->never_sent);
  CHECK(server.taken < kMaxBytesRead);
}

// Guards against a limit of silence alone, which bytes that arrive renew without end.
TEST_CASE("an answer whose bytes go on arriving ends its call when its time is over") {
  reading_client reader;
  const raw_socket listener = raw_socket::Listen();
  http_request request{.address = "127.0.0.1:" + std::to_string(listener.port()),
                       .timeout = milliseconds(200),
                       .time_limit = milliseconds(500)};
  SUBCASE("which is twice the longest silence") { request.time_limit = microseconds(0); }
  SUBCASE("which the caller has set") {}
  const auto call = reader.Fetch(request);
  const raw_socket server = listener.Accept();
  server.Write(kOk + "Content-Length: 1000000\r\n\r\n");
  const instant begun = boot_clock::now();
  instant last = begun;
  CHECK(RunUntil(reader.loop, [&] {
    if (boot_clock::now() - last > milliseconds(10)) {
      server.Write("x");
      last = boot_clock::now();
    }
    return reader.response.has_value();
  }));
  CHECK(boot_clock::now() - begun < seconds(5));
  REQUIRE(reader.response);
  CHECK(reader.response->error == "the answer did not end in time");
}

// Guards against many faulty answers at once, each of which is within the limit for one.
TEST_CASE("the answers of all calls together have a limit, and the client goes on afterwards") {
  constexpr std::size_t kBody = 4U << 20U;
  constexpr std::size_t kCalls = 2 * http_client::kMaxHeldBytes / kBody;
  reading_client reader;
  endless_server server(kOk + "Content-Length: " + std::to_string(kBody + 1) + "\r\n\r\n",
                        std::string(4096, 'x'));
  std::vector<std::optional<http_response>> responses(kCalls);
  std::vector<std::unique_ptr<http_call>> calls;
  calls.reserve(kCalls);
  for (std::optional<http_response>& response : responses) {
    calls.push_back(reader.client.Fetch(
        {.address = server.address(), .timeout = seconds(20), .max_body_bytes = kBody + 1},
        {.on_done = [&response](http_response r) { response = std::move(r); }}));
  }
  CHECK(RunUntil(reader.loop, [&] {
    server.Step();
    return std::any_of(responses.begin(), responses.end(), [](const auto& each) {
      return each && each->error == "the answers of all calls together are too large";
    });
  }));
  calls.clear();
  const raw_socket sound = raw_socket::Listen();
  const auto call =
      reader.Fetch({.address = "127.0.0.1:" + std::to_string(sound.port()), .target = "/x"});
  const raw_socket peer = sound.Accept();
  peer.Write(kOk + "Content-Length: 2\r\n\r\nok");
  CHECK(RunUntil(reader.loop, [&] { return reader.response.has_value(); }));
  REQUIRE(reader.response);
  CHECK(reader.response->body == "ok");
}

}  // namespace
}  // namespace jacinthspool
