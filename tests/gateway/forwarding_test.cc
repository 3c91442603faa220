#include <doctest/doctest.h>

#include "tests/gateway/played_platform.h"

namespace jacinthspool {
namespace {

TEST_CASE("a request reaches one server, changed only where it must be") {
  played_platform platform;
  platform.Configure();
  played_backend& server = platform.AddBackend("plain");
  server.script = &played_backend::Serve;
  played_caller caller(platform);
  caller.Ask("/once/x?y=1", "X-Kv-Hold: forged\r\nX-Other: kept\r\n");
  REQUIRE(caller.Receives("answer"));
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
  CHECK(caller.received.find("X-Server-Stamp: stamp") != std::string::npos);
  REQUIRE(server.requests.size() == 1);
  const http1_request& sent = server.requests[0];
  CHECK(sent.head.target == "/once/x?y=1");
  CHECK(sent.body == "body");
  CHECK(sent.head.Find("X-Other") == "kept");
  CHECK_FALSE(sent.head.Find("X-Kv-Hold"));
  CHECK(sent.head.Find("X-Expect-Instance") == server.id);

  SUBCASE("and its connections serve the next") {
    caller.received.clear();
    caller.Ask("/once/z");
    CHECK(caller.Receives("answer"));
    CHECK(platform.client.connections_opened() == 1);
  }
  SUBCASE("and where no route leads there is a clear answer") {
    caller.received.clear();
    caller.Ask("/nowhere/");
    CHECK(caller.Receives("HTTP/1.1 404"));
  }
}

TEST_CASE("before a configuration is known, callers are told to come back") {
  played_platform platform;
  played_caller caller(platform);
  caller.Ask("/once/");
  CHECK(caller.Receives("Retry-After"));
  CHECK(caller.received.starts_with("HTTP/1.1 503"));
}

TEST_CASE("a request that must not run twice") {
  played_platform platform;
  platform.Configure(milliseconds(600));
  played_backend& first = platform.AddBackend("plain");
  played_backend& second = platform.AddBackend("plain");
  played_caller caller(platform);
  const auto sent = [&] { return first.requests.size() + second.requests.size(); };

  SUBCASE("goes to the next server when the first says that it has not run") {
    first.script = second.script = [&](const http1_request& request, http1_answer& answer) {
      (sent() == 1 ? played_backend::Reject : played_backend::Serve)(request, answer);
    };
    caller.Ask("/once/");
    CHECK(caller.Receives("answer"));
    CHECK(sent() == 2);
  }
  SUBCASE("is refused, with a time to come back, when nobody will run it") {
    first.script = second.script = &played_backend::Reject;
    caller.Ask("/once/");
    CHECK(caller.Receives("Retry-After"));
    CHECK(caller.received.starts_with("HTTP/1.1 503"));
  }
  SUBCASE("is not sent again when its answer is lost, and its outcome is told as unknown") {
    first.script = second.script = [](const http1_request&, http1_answer& answer) {
      answer.Begin(200, {});
      answer.Cut();
    };
    caller.Ask("/once/");
    CHECK(caller.Receives("HTTP/1.1 502"));
    CHECK(sent() == 1);
  }
  SUBCASE("is not refused when its server stays silent until its time is up") {
    caller.Ask("/once/");
    CHECK(caller.Receives("HTTP/1.1 504"));
    CHECK(sent() == 1);
  }
  SUBCASE("gets no success that lacks the server's mark") {
    first.script = second.script = [](const http1_request& request, http1_answer& answer) {
      answer.Reply(200, {{"X-Request-Id", std::string(*request.head.Find("X-Request-Id"))}}, "x");
    };
    caller.Ask("/once/");
    CHECK(caller.Receives("HTTP/1.1 502"));
  }
  SUBCASE("never passes on a refusal that did not say 'not run'") {
    first.script = second.script = [](const http1_request& request, http1_answer& answer) {
      answer.Reply(503, played_backend::Genuine(request), "");
    };
    caller.Ask("/once/");
    CHECK(caller.Receives("HTTP/1.1 502"));
    CHECK(sent() == 1);
  }
}

TEST_CASE("a repeatable request goes elsewhere after a failure or a long silence") {
  played_platform platform;
  platform.Configure();
  played_backend& first = platform.AddBackend("plain");
  played_backend& second = platform.AddBackend("plain");
  played_caller caller(platform);
  const auto sent = [&] { return first.requests.size() + second.requests.size(); };
  bool fails = false;
  first.script = second.script = [&](const http1_request& request, http1_answer& answer) {
    if (sent() > 1) {
      played_backend::Serve(request, answer);
    } else if (fails) {
      answer.Reply(500, played_backend::Genuine(request), "");
    }
  };
  SUBCASE("error") { fails = true; }
  SUBCASE("silence") {}
  caller.Ask("/again/");
  CHECK(caller.Receives("answer"));
  CHECK(sent() == 2);
}

TEST_CASE("a configuration that gives a route more time gives it to requests in progress") {
  played_platform platform;
  platform.Configure(milliseconds(300));
  played_backend& server = platform.AddBackend("plain");
  played_caller caller(platform);
  caller.Ask("/once/");
  REQUIRE(caller.Wait([&] { return server.requests.size() == 1; }));
  // What the server is told is the caller's time, which no configuration changes.
  CHECK(std::stoi(std::string(*server.requests[0].head.Find("X-Deadline-Ms"))) > 3000);
  platform.Configure(seconds(3), 2);
  const instant start = timer_service::now();
  caller.Wait([&] { return timer_service::now() - start > milliseconds(600); });
  CHECK(caller.received.empty());
  played_backend::Serve(server.requests[0], *server.answers[0]);
  CHECK(caller.Receives("answer"));

  SUBCASE("and one that gives it less takes nothing from them") {
    caller.received.clear();
    caller.Ask("/once/");
    REQUIRE(caller.Wait([&] { return server.requests.size() == 2; }));
    platform.Configure(milliseconds(100), 3);
    const instant then = timer_service::now();
    caller.Wait([&] { return timer_service::now() - then > milliseconds(400); });
    CHECK(caller.received.empty());
    played_backend::Serve(server.requests[1], *server.answers[1]);
    CHECK(caller.Receives("answer"));
  }
}

TEST_CASE("a caller that leaves ends its request at the server") {
  played_platform platform;
  platform.Configure();
  played_backend& server = platform.AddBackend("plain");
  played_caller caller(platform);
  caller.Ask("/once/");
  REQUIRE(caller.Wait([&] { return server.requests.size() == 1; }));
  caller.socket.Close();
  CHECK(RunUntil(platform.loop, [&] { return server.callers_gone == 1; }));
  CHECK(platform.router.in_progress() == 0);
}

TEST_CASE("late in a planned stop a request on a kept connection is refused at once") {
  played_platform platform;
  platform.Configure();
  played_backend& server = platform.AddBackend("plain");
  played_caller before(platform);
  before.Ask("/once/");
  REQUIRE(before.Wait([&] { return server.requests.size() == 1; }));
  platform.router.StopTaking();
  platform.edge->CloseAfterAnswers();

  played_caller late(platform);
  late.Ask("/once/");
  REQUIRE(late.Receives("Retry-After"));
  CHECK(late.received.starts_with("HTTP/1.1 503"));
  CHECK(late.received.find("Connection: close") != std::string::npos);
  CHECK(server.requests.size() == 1);

  played_backend::Serve(server.requests[0], *server.answers[0]);
  CHECK(before.Receives("answer"));
}

TEST_CASE("a server that is leaving gets no new request") {
  played_platform platform;
  platform.Configure();
  played_backend& leaving = platform.AddBackend("plain");
  played_backend& staying = platform.AddBackend("plain");
  leaving.script = staying.script = &played_backend::Serve;
  platform.Publish(leaving, "plain", engine_stage::kNone, true);
  for (int i = 0; i < 8; ++i) {
    played_caller caller(platform);
    caller.Ask("/once/");
    REQUIRE(caller.Receives("answer"));
  }
  CHECK(leaving.requests.empty());
  CHECK(staying.requests.size() == 8);
}

}  // namespace
}  // namespace jacinthspool
