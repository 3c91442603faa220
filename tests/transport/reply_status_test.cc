#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "src/transport/http_client.h"
#include "tests/transport/uploading_client.h"

namespace jacinthspool {
namespace {

const std::string kInvalidHeads[] = {"HTTP/1.1 000 None\r\nContent-Length: 4\r\n",
                                     "HTTP/1.1 000 None\r\n",
                                     "HTTP/1.1 099 None\r\nContent-Length: 4\r\n",
                                     "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n",
                                     "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n",
                                     "HTTP/1.1 101 Switching Protocols\r\n",
                                     "HTTP/1.1 600 Beyond\r\nContent-Length: 4\r\n",
                                     "HTTP/1.1 999 Beyond\r\nContent-Length: 4\r\n"};

TEST_CASE("an answer of a server with a status that no answer has ends its call at once") {
  for (const std::string& head : kInvalidHeads) {
    CAPTURE(head);
    uploading_client caller;
    const raw_socket peer = caller.Start(4);
    peer.Write(head + "\r\nbody");
    CHECK(caller.Ends());
    CHECK(caller.end == call_outcome::kMalformed);
    CHECK_FALSE(caller.status);
    CHECK(caller.body.empty());
  }
}

TEST_CASE("an answer of a source of settings with a status that no answer has is none") {
  for (const std::string& head : kInvalidHeads) {
    CAPTURE(head);
    event_loop loop;
    http_client client{loop};
    const raw_socket listener = raw_socket::Listen();
    std::optional<http_response> response;
    const auto call = client.Fetch({.address = "127.0.0.1:" + std::to_string(listener.port()),
                                    .method = "GET",
                                    .target = "/x",
                                    .timeout = seconds(2)},
                                   {.on_done = [&](http_response r) { response = std::move(r); }});
    const raw_socket peer = listener.Accept();
    std::string received;
    RunUntil(loop, [&] {
      peer.Read(received);
      return received.ends_with("\r\n\r\n");
    });
    const instant start = timer_service::now();
    peer.Write(head + "\r\nbody");
    REQUIRE(RunUntil(loop, [&] { return response.has_value(); }));
    CHECK(response->status == 0);
    CHECK(timer_service::now() - start < seconds(1));
  }
}

TEST_CASE("interim answers without a body are skipped") {
  uploading_client caller;
  const raw_socket peer = caller.Start(4);
  peer.Write(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(caller.Ends());
  CHECK(caller.end == call_outcome::kWhole);
  CHECK(caller.status == 200);
  CHECK(caller.body == "ok");
}

}  // namespace
}  // namespace jacinthspool
