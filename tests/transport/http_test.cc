#include <doctest/doctest.h>
#include <event2/event.h>
#include <fcntl.h>
#include <sys/resource.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/telemetry/log.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/http_server.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

constexpr std::size_t kMaxBody = 1000;

/// A server whose exchanges are answered by the test, and a client.
struct http_fixture {
  event_loop loop;
  std::vector<std::shared_ptr<http_exchange>> exchanges;
  std::string error;
  std::unique_ptr<http_server> server = http_server::Listen(
      {.loop = loop,
       .address = "127.0.0.1:0",
       .on_request = [this](auto exchange) { exchanges.push_back(std::move(exchange)); },
       .max_body_bytes = kMaxBody},
      error);
  http_client client{loop};
  std::vector<std::string> chunks;
  std::optional<http_response> response;

  http_request To(const std::string& method, const std::string& body = {}) const {
    return {.address = "127.0.0.1:" + std::to_string(server->port()),
            .method = method,
            .target = "/a/b?c=d",
            .headers = {{"X-Kind", "test"}},
            .body = body};
  }

  std::unique_ptr<http_call> Fetch(http_request request) {
    response.reset();
    return client.Fetch(std::move(request),
                        {.on_done = [this](http_response r) { response = std::move(r); }});
  }

  std::unique_ptr<http_call> FetchChunks(http_request request) {
    response.reset();
    return client.Fetch(
        std::move(request),
        {.on_chunk = [this](int, std::string_view text) { chunks.emplace_back(text); },
         .on_done = [this](http_response r) { response = std::move(r); }});
  }

  bool WaitForExchanges(std::size_t count) {
    return RunUntil(loop, [&] { return exchanges.size() >= count; });
  }
  bool WaitForResponse() {
    return RunUntil(loop, [&] { return response.has_value(); });
  }
};

TEST_CASE("the HTTP server answers") {
  http_fixture http;
  REQUIRE(http.server != nullptr);

  SUBCASE("requests of each supported method") {
    for (const std::string method : {"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD"}) {
      CAPTURE(method);
      const bool has_body = method == "POST" || method == "PUT" || method == "PATCH";
      const auto call = http.Fetch(http.To(method, has_body ? "question" : ""));
      REQUIRE(http.WaitForExchanges(1));
      http_exchange& exchange = *http.exchanges.front();
      CHECK(exchange.method() == method);
      CHECK(exchange.target() == "/a/b?c=d");
      CHECK(exchange.path() == "/a/b");
      CHECK(exchange.body() == (has_body ? "question" : ""));
      CHECK(exchange.header("x-kind") == "test");
      exchange.Reply(201, {{"X-Reply", "yes"}}, "answer");
      http.exchanges.clear();
      REQUIRE(http.WaitForResponse());
      CHECK(http.response->status == 201);
      CHECK(http.response->error == "");
      CHECK(http.response->body == (method == "HEAD" ? "" : "answer"));
    }
  }

  SUBCASE("with a stream of chunks") {
    const auto call = http.FetchChunks(http.To("POST", "q"));
    REQUIRE(http.WaitForExchanges(1));
    http_exchange& exchange = *http.exchanges.front();
    exchange.StartStream(200, {{"Content-Type", "text/event-stream"}});
    exchange.SendChunk("one");
    REQUIRE(RunUntil(http.loop, [&] { return http.chunks.size() == 1; }));
    exchange.SendChunk("two");
    exchange.EndStream();
    REQUIRE(http.WaitForResponse());
    CHECK(http.chunks == std::vector<std::string>{"one", "two"});
    CHECK(http.response->status == 200);
    CHECK(http.response->error == "");
  }

  SUBCASE("with an aborted stream, which the client reports as an error") {
    const auto call = http.FetchChunks(http.To("GET"));
    REQUIRE(http.WaitForExchanges(1));
    http.exchanges.front()->StartStream(200, {});
    http.exchanges.front()->SendChunk("one");
    REQUIRE(RunUntil(http.loop, [&] { return http.chunks.size() == 1; }));
    http.exchanges.front()->AbortStream();
    REQUIRE(http.WaitForResponse());
    CHECK(http.response->status == 0);
    CHECK(http.response->error != "");
    CHECK_FALSE(http.response->never_sent);
  }

  SUBCASE("413 to a body over the limit, without calling the handler") {
    for (const std::size_t size : {kMaxBody + 1, kMaxBody * 1000}) {
      CAPTURE(size);
      const raw_socket caller = raw_socket::Connect(http.server->port());
      caller.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) +
                   "\r\n\r\n" + std::string(kMaxBody + 1, 'x'));
      std::string received;
      CHECK(RunUntil(http.loop, [&] {
        caller.Read(received);
        return received.starts_with("HTTP/1.1 413");
      }));
    }
    CHECK(http.exchanges.empty());
  }

  SUBCASE("or closes the connection for unusual or malformed request lines") {
    for (const std::string line : {"OPTIONS *", "GET //", "GET http://h/x?y", "GET /%zz",
                                   "CONNECT h:1", "GET", "BREW /pot", "GET \x01\xFF"}) {
      CAPTURE(line);
      const raw_socket caller = raw_socket::Connect(http.server->port());
      caller.Write(line + " HTTP/1.1\r\nHost: h\r\n\r\n");
      std::string received;
      CHECK(RunUntil(http.loop, [&] {
        http.exchanges.clear();
        return !caller.Read(received) || received.starts_with("HTTP/1.");
      }));
    }
  }

  SUBCASE("and may be destroyed while a stream is being aborted") {
    const auto call = http.Fetch(http.To("GET"));
    REQUIRE(http.WaitForExchanges(1));
    http.exchanges.front()->StartStream(200, {});
    http.exchanges.front()->AbortStream();
    http.server.reset();
    REQUIRE(http.WaitForResponse());
    CHECK(http.response->status == 0);
  }

  SUBCASE("500 when the handler destroys the exchange unanswered") {
    const auto call = http.Fetch(http.To("GET"));
    REQUIRE(http.WaitForExchanges(1));
    http.exchanges.clear();
    REQUIRE(http.WaitForResponse());
    CHECK(http.response->status == 500);
  }

  SUBCASE("a request in progress after StopAccepting, but accepts no new connection") {
    const auto call = http.Fetch(http.To("GET"));
    REQUIRE(http.WaitForExchanges(1));
    http.server->StopAccepting();
    CHECK_FALSE(raw_socket::Connect(http.server->port()).is_open());
    http.exchanges.front()->Reply(200, {}, "late");
    REQUIRE(http.WaitForResponse());
    CHECK(http.response->body == "late");
  }

  SUBCASE("later callers after it has closed a connection for lack of file descriptors") {
    const raw_socket refused = raw_socket::Connect(http.server->port());
    // The first log line opens the log, which needs file descriptors itself.
    Log(log_level::kError, "test", {});
    rlimit usual{};
    getrlimit(RLIMIT_NOFILE, &usual);
    const int next_free = dup(refused.descriptor());
    close(next_free);
    const rlimit no_more{.rlim_cur = static_cast<rlim_t>(next_free), .rlim_max = usual.rlim_max};
    setrlimit(RLIMIT_NOFILE, &no_more);
    event_base_loop(http.loop.base(), EVLOOP_ONCE);
    setrlimit(RLIMIT_NOFILE, &usual);
    std::string received;
    CHECK(RunUntil(http.loop, [&] { return !refused.Read(received); }));
    const auto call = http.Fetch(http.To("GET"));
    REQUIRE(http.WaitForExchanges(1));
    http.exchanges.clear();
    REQUIRE(http.WaitForResponse());
    CHECK(http.response->status == 500);
  }

  SUBCASE("only on a free port: Listen on a port in use fails") {
    std::string error;
    CHECK(http_server::Listen({.loop = http.loop,
                               .address = "127.0.0.1:" + std::to_string(http.server->port()),
                               .on_request = {}},
                              error) == nullptr);
    CHECK(error != "");
  }
}

TEST_CASE("a disconnect of the caller is reported") {
  http_fixture http;
  int disconnects = 0;

  SUBCASE("while the request is unanswered") {
    auto call = http.Fetch(http.To("POST", "q"));
    REQUIRE(http.WaitForExchanges(1));
    http.exchanges.front()->OnCallerDisconnected([&] { ++disconnects; });
    call.reset();
    REQUIRE(RunUntil(http.loop, [&] { return disconnects == 1; }));
    http.exchanges.front()->Reply(200, {}, "too late");
    CHECK_FALSE(http.response.has_value());
  }

  SUBCASE("during a streamed answer") {
    auto call = http.FetchChunks(http.To("GET"));
    REQUIRE(http.WaitForExchanges(1));
    http.exchanges.front()->OnCallerDisconnected([&] {
      ++disconnects;
      http.exchanges.clear();
    });
    http.exchanges.front()->StartStream(200, {});
    http.exchanges.front()->SendChunk("one");
    REQUIRE(RunUntil(http.loop, [&] { return http.chunks.size() == 1; }));
    call->Cancel();
    REQUIRE(RunUntil(http.loop, [&] { return disconnects == 1; }));
    CHECK(http.exchanges.empty());
  }

  SUBCASE("after a reset while a large answer is queued") {
    raw_socket caller = raw_socket::Connect(http.server->port());
    caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(http.WaitForExchanges(1));
    http.exchanges.front()->OnCallerDisconnected([&] { ++disconnects; });
    http.exchanges.front()->StartStream(200, {});
    http.exchanges.front()->SendChunk(std::string(16U << 20U, 'x'));
    CHECK(http.exchanges.front()->queued_bytes() > 0);
    SUBCASE("for a stream that has not ended") {
      caller.Reset();
      REQUIRE(RunUntil(http.loop, [&] { return disconnects == 1; }));
    }
    SUBCASE("and does no harm for an answer that has ended") {
      http.exchanges.front()->EndStream();
      caller.Reset();
    }
    // The server continues to serve other callers.
    const auto call = http.Fetch(http.To("GET"));
    REQUIRE(http.WaitForExchanges(2));
    http.exchanges.back()->Reply(200, {}, "fine");
    REQUIRE(http.WaitForResponse());
    CHECK(http.response->body == "fine");
  }

  SUBCASE("when it has pipelined a second request") {
    raw_socket caller = raw_socket::Connect(http.server->port());
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.Write(request + request);
    REQUIRE(http.WaitForExchanges(1));
    http.exchanges.front()->OnCallerDisconnected([&] { ++disconnects; });
    SUBCASE("the second request is handled after the first answer") {
      http.exchanges.front()->Reply(200, {}, "first");
      REQUIRE(http.WaitForExchanges(2));
      CHECK(disconnects == 0);
    }
    SUBCASE("a close is detected despite the unread bytes") {
      caller.Close();
      REQUIRE(RunUntil(http.loop, [&] { return disconnects == 1; }));
    }
  }

  SUBCASE("but not after the answer has ended") {
    raw_socket caller = raw_socket::Connect(http.server->port());
    caller.Write("GET / HTTP/1.0\r\n\r\n");
    REQUIRE(http.WaitForExchanges(1));
    http.exchanges.front()->OnCallerDisconnected([&] { ++disconnects; });
    http.exchanges.front()->StartStream(200, {});
    http.exchanges.front()->SendChunk("all of it");
    http.exchanges.front()->EndStream();
    std::string received;
    REQUIRE(RunUntil(http.loop, [&] { return !caller.Read(received); }));
    CHECK(received.ends_with("all of it"));
    CHECK(disconnects == 0);
  }
}

TEST_CASE("the HTTP client reports failures of servers") {
  event_loop loop;
  auto client = std::make_unique<http_client>(loop);
  const raw_socket listener = raw_socket::Listen();
  std::optional<http_response> response;
  http_request request{.address = "127.0.0.1:" + std::to_string(listener.port())};
  const http_callbacks callbacks{.on_done = [&](http_response r) { response = std::move(r); }};
  const auto answered = [&] { return response.has_value(); };

  SUBCASE("a truncated body, or one without length or chunked coding, is an error") {
    for (const std::string answer :
         {"Content-Length: 10\r\n\r\nshort", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "\r\nbody"}) {
      CAPTURE(answer);
      response.reset();
      const auto call = client->Fetch(request, callbacks);
      const raw_socket server = listener.Accept();
      std::string received;
      REQUIRE(RunUntil(loop, [&] {
        server.Read(received);
        return received.ends_with("\r\n\r\n");
      }));
      server.Write("HTTP/1.1 200 OK\r\n" + answer);
      shutdown(server.descriptor(), SHUT_WR);
      REQUIRE(RunUntil(loop, answered));
      CHECK(response->status == 0);
      CHECK(response->error != "");
      CHECK_FALSE(response->never_sent);
    }
  }

  SUBCASE("a head that is cut at any byte is an error, closed or reset") {
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-More: 1\r\nContent-Type: text/plain\r\n";
    for (std::size_t length = 0; length <= head.size(); ++length) {
      for (const bool resets : {false, true}) {
        CAPTURE(length);
        CAPTURE(resets);
        response.reset();
        const auto call = client->Fetch(request, callbacks);
        raw_socket server = listener.Accept();
        std::string received;
        REQUIRE(RunUntil(loop, [&] {
          server.Read(received);
          return received.ends_with("\r\n\r\n");
        }));
        server.Write(head.substr(0, length));
        if (resets) {
          server.Reset();
        } else {
          server.Close();
        }
        REQUIRE(RunUntil(loop, answered));
        CHECK(response->status == 0);
      }
    }
  }

  SUBCASE("a server that does not answer causes a timeout") {
    request.timeout = milliseconds(20);
    const auto call = client->Fetch(request, callbacks);
    REQUIRE(RunUntil(loop, answered));
    CHECK(response->error == "timeout");
    CHECK_FALSE(response->never_sent);
  }

  SUBCASE("never_sent is set when no server listens on the port") {
    request.address = "127.0.0.1:" + std::to_string(raw_socket::Listen().port());
    const auto call = client->Fetch(request, callbacks);
    REQUIRE(RunUntil(loop, answered));
    CHECK(response->status == 0);
    CHECK(response->never_sent);
  }

  SUBCASE("never_sent is set when the kernel rejects the address immediately") {
    request.address = "255.255.255.255:1";
    const auto call = client->Fetch(request, callbacks);
    REQUIRE(RunUntil(loop, answered));
    CHECK(response->status == 0);
    CHECK(response->never_sent);
  }

  SUBCASE("never_sent is set when the address is malformed") {
    request.address = "somewhere";
    const auto call = client->Fetch(request, callbacks);
    REQUIRE(RunUntil(loop, answered));
    CHECK(response->never_sent);
  }

  SUBCASE("the client may be destroyed inside a callback") {
    const auto call =
        client->Fetch(request, {.on_chunk = [&](int, std::string_view) { client.reset(); },
                                .on_done = [&](const http_response&) { FAIL("was cancelled"); }});
    const raw_socket server = listener.Accept();
    server.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    REQUIRE(RunUntil(loop, [&] { return client == nullptr; }));
    std::string received;
    CHECK(RunUntil(loop, [&] { return !server.Read(received); }));
  }
}

TEST_CASE("the HTTP client replaces an idle connection that the server has closed") {
  http_fixture http;
  const std::string address = "127.0.0.1:" + std::to_string(http.server->port());
  for (std::size_t number = 1; number <= 2; ++number) {
    const auto call = http.Fetch(http.To("GET"));
    REQUIRE(http.WaitForExchanges(number));
    http.exchanges.back()->Reply(200, {}, "x");
    REQUIRE(http.WaitForResponse());
    CHECK(http.response->status == 200);
    http.server.reset();
    http.server = http_server::Listen(
        {.loop = http.loop,
         .address = address,
         .on_request = [&](auto exchange) { http.exchanges.push_back(std::move(exchange)); }},
        http.error);
    REQUIRE(http.server != nullptr);
  }
}

TEST_CASE("the HTTP client reuses idle connections") {
  http_fixture http;
  for (std::size_t number = 1; number <= 2; ++number) {
    const auto call = http.Fetch(http.To("GET"));
    REQUIRE(http.WaitForExchanges(number));
    http.exchanges.back()->Reply(200, {}, "x");
    REQUIRE(http.WaitForResponse());
  }
  http.server->StopAccepting();
  const auto call = http.Fetch(http.To("GET"));
  REQUIRE(http.WaitForExchanges(3));
  http.exchanges.back()->Reply(200, {}, "over the old connection");
  REQUIRE(http.WaitForResponse());
  CHECK(http.response->body == "over the old connection");
}

/// A server on raw sockets that answers one connection.
struct raw_server {
  raw_socket listener = raw_socket::Listen();
  raw_socket peer{-1};

  raw_server() { fcntl(listener.descriptor(), F_SETFL, O_NONBLOCK); }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(listener.port());
  }
  /// Waits for a request on a new connection.
  bool TakeRequest(event_loop& loop) {
    std::string request;
    return RunUntil(loop, [&] {
      if (raw_socket next = listener.Accept(); next.is_open()) {
        peer = std::move(next);
      }
      return peer.is_open() && (peer.Read(request), request.ends_with("\r\n\r\n"));
    });
  }
  void Answer() const { peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); }
};

TEST_CASE(
    "a call cancelled in the iteration in which its answer arrives does not affect the next") {
  event_loop loop;
  http_client client(loop);
  raw_server servers[2];
  std::unique_ptr<http_call> calls[2];
  std::optional<int> cancelled;
  // Both answers are sent before the loop runs again. The first one that is read cancels the
  // other call.
  for (int i = 0; i < 2; ++i) {
    calls[i] = client.Fetch({.address = servers[i].address()},
                            {.on_chunk =
                                 [&, i](int /*status*/, std::string_view /*bytes*/) {
                                   if (!cancelled) {
                                     cancelled = 1 - i;
                                     calls[1 - i].reset();
                                   }
                                 },
                             .on_done = [](const http_response&) {}});
  }
  REQUIRE(servers[0].TakeRequest(loop));
  REQUIRE(servers[1].TakeRequest(loop));
  servers[0].Answer();
  servers[1].Answer();
  REQUIRE(RunUntil(loop, [&] { return cancelled.has_value(); }));

  raw_server& server = servers[*cancelled];
  server.peer.Close();
  std::optional<http_response> response;
  const auto next =
      client.Fetch({.address = server.address()},
                   {.on_done = [&](http_response received) { response = std::move(received); }});
  REQUIRE(server.TakeRequest(loop));
  server.Answer();
  REQUIRE(RunUntil(loop, [&] { return response.has_value(); }));
  CHECK(response->body == "ok");
}

}  // namespace
}  // namespace jacinthspool
