#include <doctest/doctest.h>
#include <poll.h>

#include <cerrno>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/transport/http1_client.h"
#include "src/transport/http1_server.h"
#include "tests/transport/any_answer.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool {
namespace {

/// An http1_server whose requests are answered by the test, and one caller of it.
struct server_fixture {
  event_loop loop;
  timer_service timers{loop};
  std::vector<http1_request> requests;
  std::vector<std::shared_ptr<any_answer>> answers;
  std::string error;
  std::unique_ptr<http1_server> server = http1_server::Listen(
      {.loop = loop,
       .timers = timers,
       .address = "127.0.0.1:0",
       .on_request =
           [this](http1_request request, http1_responder answer) {
             requests.push_back(std::move(request));
             answers.push_back(std::make_shared<any_answer>(std::move(answer)));
           }},
      error);
  raw_socket caller = raw_socket::Connect(server->port());
  std::string received;
  bool open = true;
  bool reset = false;  ///< The connection was not closed in order.

  bool Wait(const std::function<bool()>& condition) {
    return RunUntil(loop, [&] {
      if (open) {
        errno = 0;
        open = caller.Read(received);
        reset = !open && errno == ECONNRESET;
      }
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

TEST_CASE("the HTTP/1.1 server accepts only unambiguously framed requests") {
  server_fixture fixture;
  REQUIRE(fixture.server);

  SUBCASE("pipelined requests with a length, with chunks and without a body are read in order") {
    fixture.caller.Write(
        "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
        "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    for (std::size_t i = 0; i < 3; ++i) {
      REQUIRE(fixture.Wait([&] { return fixture.requests.size() == i + 1; }));
      fixture.answers[i]->Reply(200, {}, "answer" + std::to_string(i));
      REQUIRE(fixture.Received("answer" + std::to_string(i)));
    }
    CHECK(fixture.requests[0].body == "abc");
    CHECK(fixture.requests[1].body == "def");
    CHECK(fixture.requests[2].head.target == "/3");
  }

  SUBCASE("an ambiguously framed request is rejected and does not reach the handler") {
    const char* ambiguous[] = {
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
    for (const char* text : ambiguous) {
      CAPTURE(text);
      server_fixture single;
      single.caller.Write(text);
      CHECK(single.Closed());
      CHECK((single.received.starts_with("HTTP/1.1 400") ||
             single.received.starts_with("HTTP/1.1 501")));
      CHECK(single.requests.empty());
    }
  }

  SUBCASE("a head over the limit is rejected with 431, a body with 413") {
    fixture.server->SetLimits({.max_head_bytes = 200, .max_body_bytes = 10});
    fixture.caller = raw_socket::Connect(fixture.server->port());
    SUBCASE("head") {
      fixture.caller.Write("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
      CHECK(fixture.Received("HTTP/1.1 431"));
    }
    SUBCASE("body") {
      fixture.caller.Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n12345678901");
      CHECK(fixture.Received("HTTP/1.1 413"));
    }
  }

  SUBCASE("an incomplete head is rejected with 408 after its timeout") {
    fixture.server->SetLimits({.head_timeout = milliseconds(100)});
    fixture.caller.Write("GET / HTTP/1.1\r\nHo");
    CHECK(fixture.Received("HTTP/1.1 408"));
    CHECK(fixture.Closed());
  }
}

TEST_CASE("a streamed answer that is aborted lacks its last chunk") {
  server_fixture fixture;
  fixture.caller.Write(kGet);
  REQUIRE(fixture.Wait([&] { return fixture.requests.size() == 1; }));
  fixture.answers[0]->Begin(200, {});
  fixture.answers[0]->Send("part");
  fixture.answers[0]->Abort();
  CHECK(fixture.Closed());
  CHECK(fixture.received.find("part") != std::string::npos);
  CHECK(fixture.received.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a disconnect of the caller is reported, and a later answer has no effect") {
  server_fixture fixture;
  fixture.caller.Write(kGet);
  REQUIRE(fixture.Wait([&] { return fixture.requests.size() == 1; }));
  bool disconnected = false;
  fixture.answers[0]->OnCallerDisconnected([&] { disconnected = true; });
  fixture.caller.Close();
  CHECK(RunUntil(fixture.loop, [&] { return disconnected; }));
  CHECK(fixture.server->in_progress() == 0);
  fixture.answers[0]->Reply(200, {}, "late");
}

TEST_CASE("a planned stop completes a request in progress and then closes its connection") {
  server_fixture fixture;
  fixture.caller.Write(kGet);
  REQUIRE(fixture.Wait([&] { return fixture.requests.size() == 1; }));
  fixture.server->CloseAfterAnswers();
  fixture.server->StopAccepting();
  fixture.answers[0]->Reply(200, {}, "whole");
  CHECK(fixture.Closed());
  CHECK(fixture.received.find("Connection: close") != std::string::npos);
  CHECK(fixture.received.ends_with("whole"));
}

TEST_CASE("a planned stop answers requests that are in transit") {
  server_fixture fixture;
  REQUIRE(fixture.server);
  const auto answered = [&] {
    return fixture.Wait([&] { return fixture.requests.size() == 1 || !fixture.open; }) &&
           fixture.requests.size() == 1;
  };
  fixture.server->CloseAfterAnswers();

  SUBCASE("on a connection in the backlog") {
    fixture.caller.Write(kGet);
    fixture.server->StopAccepting();
    REQUIRE(answered());
  }
  SUBCASE("on a persistent connection, arrived but unread") {
    fixture.Wait([start = timer_service::now()] {
      return timer_service::now() - start > milliseconds(700);
    });
    fixture.caller.Write(kGet);
    fixture.server->StopAccepting();
    REQUIRE(answered());
  }
  SUBCASE("on a persistent connection, 30 ms after the stop") {
    fixture.Wait(
        [start = timer_service::now()] { return timer_service::now() - start > milliseconds(10); });
    fixture.server->StopAccepting();
    fixture.Wait(
        [start = timer_service::now()] { return timer_service::now() - start > milliseconds(30); });
    fixture.caller.Write(kGet);
    REQUIRE(answered());
  }
  CHECK_FALSE(fixture.server->closed());
  fixture.answers[0]->Reply(200, {}, "whole");
  CHECK(fixture.Closed());
  CHECK(fixture.received.ends_with("whole"));
  CHECK(RunUntil(fixture.loop, [&] { return fixture.server->closed(); }));
}

TEST_CASE("a request on an idle connection is not lost to the idle timeout") {
  server_fixture fixture;
  const auto answer_next = [&] {
    fixture.Wait([&] { return !fixture.open || !fixture.answers.empty(); });
    REQUIRE(fixture.answers.size() == 1);
    fixture.answers.front()->Reply(200, {}, "kept");
    CHECK(fixture.Received("kept"));
  };

  SUBCASE("when it arrives while the loop is busy and the timeout passes") {
    fixture.server->SetLimits({.idle_timeout = milliseconds(400)});
    const instant start = timer_service::now();
    // Both timers and the check of the timeouts, at 500 ms, run in one turn of the loop.
    const auto busy = fixture.timers.After(milliseconds(440), [&](instant) {
      while (timer_service::now() - start < milliseconds(560)) {
      }
    });
    const auto arrival =
        fixture.timers.After(milliseconds(450), [&](instant) { fixture.caller.Write(kGet); });
    answer_next();
  }
  SUBCASE("when a configuration with a shorter timeout comes in between") {
    const instant start = timer_service::now();
    fixture.Wait([&] { return timer_service::now() - start > milliseconds(400); });
    fixture.server->SetLimits({.idle_timeout = milliseconds(200)});
    fixture.Wait([&] { return timer_service::now() - start > milliseconds(1200); });
    fixture.caller.Write(kGet);
    answer_next();
    // The shorter timeout holds for the next idle time.
    const instant idle = timer_service::now();
    CHECK(fixture.Closed());
    CHECK(timer_service::now() - idle < seconds(2));
  }
}

TEST_CASE("a request that arrives while its idle connection is being closed stays unread") {
  server_fixture fixture;
  fixture.server->SetLimits({.idle_timeout = milliseconds(100)});
  // The check of the timeouts, at 500 ms, and the arrival run in one turn of the loop.
  const instant start = timer_service::now();
  const auto busy = fixture.timers.After(milliseconds(490), [&](instant) {
    while (timer_service::now() - start < milliseconds(560)) {
    }
  });
  const auto arrival =
      fixture.timers.After(milliseconds(510), [&](instant) { fixture.caller.Write(kGet); });
  CHECK(fixture.Closed());
  // After an orderly close the caller could not know that the request had not been read.
  CHECK(fixture.requests.empty());
  CHECK(fixture.reset);
}

TEST_CASE("a caller that reads slowly gets an answer whole that was finished before") {
  server_fixture fixture;
  REQUIRE(fixture.server);
  raw_socket slow = raw_socket::ConnectOverSlowLink(fixture.server->port());
  slow.Write(kGet);
  REQUIRE(fixture.Wait([&] { return fixture.requests.size() == 1; }));
  std::string body(300'000, 'b');
  std::string received;
  bool open = true;
  // Some KB a second, so that the server's queue holds bytes all the time.
  const auto read_slowly_for = [&](milliseconds time) {
    instant next = timer_service::now();
    const instant end = next + time;
    RunUntil(fixture.loop, [&] {
      if (open && timer_service::now() >= next) {
        open = slow.Read(received);
        next += milliseconds(500);
      }
      return timer_service::now() >= end;
    });
  };

  SUBCASE("through a planned stop, also what the kernel has no room for") {
    body.resize(12U << 20U, 'b');
    fixture.answers[0]->Reply(200, {}, body);
    REQUIRE(fixture.server->in_progress() == 0);
    fixture.server->CloseAfterAnswers();
    fixture.server->StopAccepting();
    read_slowly_for(seconds(3));
  }
  SUBCASE("though the process ends meanwhile") {
    fixture.answers[0]->Begin(200, {});
    fixture.server->CloseAfterAnswers();
    fixture.server->StopAccepting();
    fixture.answers[0]->Send(body);
    fixture.answers[0]->End();
    read_slowly_for(seconds(2));
    fixture.server.reset();
  }
  SUBCASE("though it takes longer than the idle timeout") {
    fixture.server->SetLimits({.idle_timeout = milliseconds(300)});
    fixture.answers[0]->Reply(200, {}, body);
    read_slowly_for(seconds(3));
  }
  REQUIRE(open);
  CHECK(received.size() < body.size() / 4);
  // Once it is read the connection is idle, and is closed.
  CHECK(RunUntil(fixture.loop, [&] { return !(open = open && slow.Read(received)); }));
  CHECK(received.find(body) != std::string::npos);
}

TEST_CASE("a planned stop closes an idle connection within 2 s") {
  server_fixture fixture;
  REQUIRE(fixture.server);
  const instant start = timer_service::now();
  fixture.Wait([&] { return timer_service::now() - start > milliseconds(20); });
  fixture.server->StopAccepting();
  CHECK(fixture.Closed());
  CHECK(timer_service::now() - start < seconds(2));
  CHECK(fixture.server->closed());
}

/// An http1_client and a listening socket on which the test acts as the server.
struct client_fixture : http1_call_listener {
  event_loop loop;
  timer_service timers{loop};
  http1_client client{{.loop = loop, .timers = timers}};
  raw_socket listener = raw_socket::Listen();
  std::unique_ptr<http1_call> call;
  std::string body;
  std::vector<int> statuses;
  std::optional<call_outcome> end;
  head_action verdict = head_action::kAccept;
  bool pause_in_body = false;

  head_action OnHead(const http1_head& head) override {
    statuses.push_back(head.status);
    return statuses.size() == 1 ? verdict : head_action::kAccept;
  }
  void OnBody(std::string_view bytes) override {
    body += bytes;
    if (pause_in_body) {
      call->PauseReply(true);
    }
  }
  void OnEnd(call_outcome how, const std::string& /*reason*/) override { end = how; }

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
  /// Accepts a connection, waits for the request and sends `text`.
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
  call_outcome End() {
    RunUntil(loop, [&] { return end.has_value(); });
    return *end;
  }
};

constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST_CASE("a call reports how far it progressed") {
  client_fixture caller;

  SUBCASE("refused: no server listens on the port") {
    raw_socket closed = raw_socket::Listen();
    const std::uint16_t port = closed.port();
    closed.Close();
    caller.Start(port);
    CHECK(caller.End() == call_outcome::kRefused);
  }
  SUBCASE("lost: the request was sent and no reply began") {
    caller.Start();
    caller.Answer("").Reset();
    CHECK(caller.End() == call_outcome::kLost);
  }
  SUBCASE("cut: the connection failed within the reply") {
    caller.Start();
    SUBCASE("with a length") {
      caller.Answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab").Close();
    }
    SUBCASE("in chunks") {
      caller.Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n").Close();
    }
    SUBCASE("without a length") { caller.Answer("HTTP/1.1 200 OK\r\n\r\nab").Reset(); }
    CHECK(caller.End() == call_outcome::kCut);
  }
  SUBCASE("an orderly close completes a reply without a length") {
    caller.Start();
    caller.Answer("HTTP/1.1 200 OK\r\n\r\nab").Close();
    CHECK(caller.End() == call_outcome::kWhole);
    CHECK(caller.body == "ab");
  }
  SUBCASE("malformed: the reply is not HTTP") {
    caller.Start();
    const raw_socket peer = caller.Answer("garbage\r\n\r\n");
    CHECK(caller.End() == call_outcome::kMalformed);
  }
}

TEST_CASE("an idle connection is reused for the next call") {
  client_fixture caller;
  caller.Start();
  raw_socket peer = caller.Answer(kWhole);
  REQUIRE(caller.End() == call_outcome::kWhole);
  caller.Start();
  caller.AnswerOn(peer, kWhole);
  CHECK(caller.End() == call_outcome::kWhole);
  CHECK(caller.client.connections_opened() == 1);

  SUBCASE("except after it was idle for longer than max_idle") {
    RunUntil(caller.loop, [start = timer_service::now()] {
      return timer_service::now() - start > milliseconds(30);
    });
    caller.Start(0, milliseconds(20));
    const raw_socket next = caller.Answer(kWhole);
    CHECK(caller.End() == call_outcome::kWhole);
    CHECK(caller.client.connections_opened() == 2);
  }
  SUBCASE("except when bytes arrived on it that were not read before the call") {
    peer.Write(kWhole);
    pollfd arrived{.fd = caller.listener.descriptor(), .events = POLLIN, .revents = 0};
    poll(&arrived, 1, 200);
    caller.Start();
    REQUIRE(caller.client.connections_opened() == 2);
    const raw_socket next = caller.Answer(kWhole);
    CHECK(caller.End() == call_outcome::kWhole);
  }
  SUBCASE("except when its server closed it before the call") {
    peer.Close();
    caller.Start();
    REQUIRE(caller.client.connections_opened() == 2);
    const raw_socket next = caller.Answer(kWhole);
    CHECK(caller.End() == call_outcome::kWhole);
  }
  SUBCASE("except after unsolicited bytes arrived on it") {
    caller.call.reset();
    peer.Write(kWhole);
    // Longer than the bytes can be held back by a delayed acknowledgement.
    RunUntil(caller.loop, [start = timer_service::now()] {
      return timer_service::now() - start > milliseconds(200);
    });
    caller.Start();
    const raw_socket next = caller.Answer(kWhole);
    CHECK(caller.End() == call_outcome::kWhole);
    CHECK(caller.client.connections_opened() == 2);
  }
}

TEST_CASE("a complete reply is whole although its server closed while it was paused") {
  client_fixture caller;
  caller.pause_in_body = true;
  caller.Start();
  SUBCASE("with a length") {
    caller.Answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").Close();
  }
  SUBCASE("in chunks") {
    caller.Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
        .Close();
  }
  REQUIRE(RunUntil(caller.loop, [&] { return !caller.body.empty(); }));
  caller.call->PauseReply(false);
  CHECK(caller.End() == call_outcome::kWhole);
  CHECK(caller.body == "ok");
}

TEST_CASE("a reply to another request is skipped") {
  client_fixture caller;
  caller.verdict = head_action::kSkip;
  caller.Start();
  const raw_socket peer = caller.Answer(
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
      "HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\nown");
  CHECK(caller.End() == call_outcome::kWhole);
  CHECK(caller.body == "own");
  CHECK(caller.statuses == std::vector<int>{200, 201});

  SUBCASE("and its connection is not used again") {
    caller.verdict = head_action::kAccept;
    caller.Start();
    REQUIRE(caller.client.connections_opened() == 2);
    const raw_socket next = caller.Answer(kWhole);
    CHECK(caller.End() == call_outcome::kWhole);
  }
}

TEST_CASE("destroying a call closes its connection") {
  client_fixture caller;
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
