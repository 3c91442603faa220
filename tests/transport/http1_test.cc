#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/transport/http1_client.h"
#include "src/transport/http1_server.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

/// A strict server whose requests wait for the test's answers.
struct strict_server {
  event_loop loop;
  timer_service timers{loop};
  std::vector<http1_request> requests;
  std::vector<std::shared_ptr<http1_answer>> answers;
  std::string error;
  std::unique_ptr<http1_server> server = http1_server::Listen(
      {.loop = loop,
       .timers = timers,
       .address = "127.0.0.1:0",
       .on_request =
           [this](http1_request request, std::shared_ptr<http1_answer> answer) {
             requests.push_back(std::move(request));
             answers.push_back(std::move(answer));
           }},
      error);
  raw_socket caller = raw_socket::Connect(server->port());
  std::string received;
  bool open = true;

  bool Wait(const std::function<bool()>& condition) {
    return RunUntil(loop, [&] {
      open = open && caller.Read(received);
      return condition();
    });
  }
  bool Received(std::string_view text) {
    return Wait([&] { return received.find(text) != std::string::npos; });
  }
  bool Closed() {
    return Wait([&] { return !open; });
  }
};

constexpr const char* kGet = "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_CASE("the edge frames requests in one way only") {
  strict_server edge;
  REQUIRE(edge.server);

  SUBCASE("a body with a length, one in chunks and none, one after the other") {
    edge.caller.Write(
        "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
        "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    for (std::size_t i = 0; i < 3; ++i) {
      REQUIRE(edge.Wait([&] { return edge.requests.size() == i + 1; }));
      edge.answers[i]->Reply(200, {}, "answer" + std::to_string(i));
      REQUIRE(edge.Received("answer" + std::to_string(i)));
    }
    CHECK(edge.requests[0].body == "abc");
    CHECK(edge.requests[1].body == "def");
    CHECK(edge.requests[2].head.target == "/3");
  }

  SUBCASE("what could be framed differently is refused and reaches nobody") {
    const char* odd[] = {
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\nab0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\n\n",
        "GET / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
    };
    for (const char* text : odd) {
      CAPTURE(text);
      strict_server one;
      one.caller.Write(text);
      CHECK(one.Closed());
      CHECK((one.received.starts_with("HTTP/1.1 400") || one.received.starts_with("HTTP/1.1 501")));
      CHECK(one.requests.empty());
    }
  }

  SUBCASE("a head or body over the limit is refused with its own status") {
    edge.server->SetLimits({.max_head_bytes = 200, .max_body_bytes = 10});
    edge.caller = raw_socket::Connect(edge.server->port());
    SUBCASE("head") {
      edge.caller.Write("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
      CHECK(edge.Received("HTTP/1.1 431"));
    }
    SUBCASE("body") {
      edge.caller.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n12345678901");
      CHECK(edge.Received("HTTP/1.1 413"));
    }
  }

  SUBCASE("a head that never ends is given up") {
    edge.server->SetLimits({.head_timeout = milliseconds(100)});
    edge.caller.Write("GET / HTTP/1.1\r\nHo");
    CHECK(edge.Received("HTTP/1.1 408"));
    CHECK(edge.Closed());
  }
}

TEST_CASE("a begun answer that fails looks cut") {
  strict_server edge;
  edge.caller.Write(kGet);
  REQUIRE(edge.Wait([&] { return edge.requests.size() == 1; }));
  edge.answers[0]->Begin(200, {});
  edge.answers[0]->Send("part");
  edge.answers[0]->Cut();
  CHECK(edge.Closed());
  CHECK(edge.received.find("part") != std::string::npos);
  CHECK(edge.received.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a caller that goes is noticed, and nothing more is sent") {
  strict_server edge;
  edge.caller.Write(kGet);
  REQUIRE(edge.Wait([&] { return edge.requests.size() == 1; }));
  bool gone = false;
  edge.answers[0]->OnCallerGone([&] { gone = true; });
  edge.caller.Close();
  CHECK(RunUntil(edge.loop, [&] { return gone; }));
  CHECK(edge.server->in_progress() == 0);
  edge.answers[0]->Reply(200, {}, "late");
}

TEST_CASE("a planned stop lets a request end and closes its connection after the answer") {
  strict_server edge;
  edge.caller.Write(kGet);
  REQUIRE(edge.Wait([&] { return edge.requests.size() == 1; }));
  edge.server->CloseAfterAnswers();
  edge.server->StopAccepting();
  edge.answers[0]->Reply(200, {}, "whole");
  CHECK(edge.Closed());
  CHECK(edge.received.find("Connection: close") != std::string::npos);
  CHECK(edge.received.ends_with("whole"));
}

TEST_CASE("a planned stop answers requests that are on their way") {
  strict_server edge;
  REQUIRE(edge.server);
  const auto answered = [&] {
    return edge.Wait([&] { return edge.requests.size() == 1 || !edge.open; }) &&
           edge.requests.size() == 1;
  };
  edge.server->CloseAfterAnswers();

  SUBCASE("on a connection that was not taken yet") {
    edge.caller.Write(kGet);
    edge.server->StopAccepting();
    REQUIRE(answered());
  }
  SUBCASE("on a kept connection, unread") {
    edge.Wait([start = timer_service::now()] {
      return timer_service::now() - start > milliseconds(700);
    });
    edge.caller.Write(kGet);
    edge.server->StopAccepting();
    REQUIRE(answered());
  }
  SUBCASE("on a kept connection, a moment later") {
    edge.Wait(
        [start = timer_service::now()] { return timer_service::now() - start > milliseconds(10); });
    edge.server->StopAccepting();
    edge.Wait(
        [start = timer_service::now()] { return timer_service::now() - start > milliseconds(30); });
    edge.caller.Write(kGet);
    REQUIRE(answered());
  }
  CHECK_FALSE(edge.server->closed());
  edge.answers[0]->Reply(200, {}, "whole");
  CHECK(edge.Closed());
  CHECK(edge.received.ends_with("whole"));
  CHECK(RunUntil(edge.loop, [&] { return edge.server->closed(); }));
}

TEST_CASE("a planned stop closes a connection without a request after a moment") {
  strict_server edge;
  REQUIRE(edge.server);
  const instant start = timer_service::now();
  edge.Wait([&] { return timer_service::now() - start > milliseconds(20); });
  edge.server->StopAccepting();
  CHECK(edge.Closed());
  CHECK(timer_service::now() - start < seconds(2));
  CHECK(edge.server->closed());
}

/// A client whose server is the test.
struct strict_client : http1_call_listener {
  event_loop loop;
  timer_service timers{loop};
  http1_client client{{.loop = loop, .timers = timers}};
  raw_socket listener = raw_socket::Listen();
  std::unique_ptr<http1_call> call;
  std::string body;
  std::vector<int> statuses;
  std::optional<call_end> end;
  head_verdict verdict = head_verdict::kTake;

  head_verdict OnHead(const http1_head& head) override {
    statuses.push_back(head.status);
    return statuses.size() == 1 ? verdict : head_verdict::kTake;
  }
  void OnBody(std::string_view bytes) override { body += bytes; }
  void OnEnd(call_end how, const std::string& /*reason*/) override { end = how; }

  void Start(std::uint16_t port = 0, milliseconds max_idle = seconds(4)) {
    end.reset();
    body.clear();
    statuses.clear();
    call =
        client.Start({.address = "127.0.0.1:" + std::to_string(port == 0 ? listener.port() : port),
                      .bytes = kGet,
                      .max_idle = max_idle},
                     *this);
  }
  /// Accepts, waits for the request and answers.
  raw_socket Answer(std::string_view text) {
    raw_socket peer = listener.Accept();
    AnswerOn(peer, text);
    return peer;
  }
  void AnswerOn(const raw_socket& peer, std::string_view text) {
    std::string request;
    RunUntil(loop, [&] {
      peer.Read(request);
      return request.ends_with("\r\n\r\n");
    });
    peer.Write(text);
  }
  call_end End() {
    RunUntil(loop, [&] { return end.has_value(); });
    return *end;
  }
};

constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST_CASE("a call tells how far it came") {
  strict_client caller;

  SUBCASE("nothing left this process") {
    raw_socket closed = raw_socket::Listen();
    const std::uint16_t port = closed.port();
    closed.Close();
    caller.Start(port);
    CHECK(caller.End() == call_end::kUnsent);
  }
  SUBCASE("the request was sent and nothing came back") {
    caller.Start();
    caller.Answer("").Reset();
    CHECK(caller.End() == call_end::kLost);
  }
  SUBCASE("the answer broke off, also one that only the connection's end would end") {
    caller.Start();
    SUBCASE("with a length") {
      caller.Answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab").Close();
    }
    SUBCASE("in chunks") {
      caller.Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n").Close();
    }
    SUBCASE("without a length") { caller.Answer("HTTP/1.1 200 OK\r\n\r\nab").Reset(); }
    CHECK(caller.End() == call_end::kCut);
  }
  SUBCASE("a clean end ends an answer without a length") {
    caller.Start();
    caller.Answer("HTTP/1.1 200 OK\r\n\r\nab").Close();
    CHECK(caller.End() == call_end::kWhole);
    CHECK(caller.body == "ab");
  }
  SUBCASE("what is no HTTP is told as such") {
    caller.Start();
    const raw_socket peer = caller.Answer("garbage\r\n\r\n");
    CHECK(caller.End() == call_end::kMalformed);
  }
}

TEST_CASE("a kept connection serves the next call") {
  strict_client caller;
  caller.Start();
  const raw_socket peer = caller.Answer(kWhole);
  REQUIRE(caller.End() == call_end::kWhole);
  caller.Start();
  caller.AnswerOn(peer, kWhole);
  CHECK(caller.End() == call_end::kWhole);
  CHECK(caller.client.connections_opened() == 1);

  SUBCASE("but not after it was idle for too long") {
    RunUntil(caller.loop, [start = timer_service::now()] {
      return timer_service::now() - start > milliseconds(30);
    });
    caller.Start(0, milliseconds(20));
    const raw_socket next = caller.Answer(kWhole);
    CHECK(caller.End() == call_end::kWhole);
    CHECK(caller.client.connections_opened() == 2);
  }
  SUBCASE("nor when stray bytes came on it") {
    caller.call.reset();
    peer.Write(kWhole);
    // Longer than a delayed acknowledgement holds them back.
    RunUntil(caller.loop, [start = timer_service::now()] {
      return timer_service::now() - start > milliseconds(200);
    });
    caller.Start();
    const raw_socket next = caller.Answer(kWhole);
    CHECK(caller.End() == call_end::kWhole);
    CHECK(caller.client.connections_opened() == 2);
  }
}

TEST_CASE("an answer that belongs to another request is read past") {
  strict_client caller;
  caller.verdict = head_verdict::kSkip;
  caller.Start();
  const raw_socket peer = caller.Answer(
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
      "HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\nown");
  CHECK(caller.End() == call_end::kWhole);
  CHECK(caller.body == "own");
  CHECK(caller.statuses == std::vector<int>{200, 201});
}

TEST_CASE("destroying a call closes its connection") {
  strict_client caller;
  caller.Start();
  raw_socket peer = caller.listener.Accept();
  std::string request;
  RunUntil(caller.loop, [&] {
    peer.Read(request);
    return !request.empty();
  });
  caller.call.reset();
  CHECK(RunUntil(caller.loop, [&] { return !peer.Read(request); }));
  CHECK_FALSE(caller.end);
}

}  // namespace
}  // namespace jacinthspool
