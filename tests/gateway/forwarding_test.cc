#include <doctest/doctest.h>

#include "tests/gateway/fake_platform.h"

namespace jacinthspool {
namespace {

TEST_CASE("a request reaches one server with only the required changes") {
  fake_platform platform;
  platform.Configure();
  scripted_backend& server = platform.AddBackend("plain");
  server.script = &scripted_backend::Serve;
  fake_caller caller(platform);
  caller.Send("/once/x?y=1", "X-Kv-Hold: forged\r\nX-Other: kept\r\nX-Prompt-Prefix: a:1,?\r\n");
  REQUIRE(caller.Receives("answer"));
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
  CHECK(caller.received.find("X-Server-Stamp: stamp") != std::string::npos);
  REQUIRE(server.requests.size() == 1);
  const http1_request& sent = server.requests[0];
  CHECK(sent.head.target == "/once/x?y=1");
  CHECK(sent.body == "body");
  CHECK(sent.head.Find("X-Other") == "kept");
  CHECK(sent.head.Find("X-Prompt-Prefix") == "a:1,?");
  CHECK(platform.router.metrics().Render().find("gateway_unreadable_prompt_parts 1") !=
        std::string::npos);
  CHECK_FALSE(sent.head.Find("X-Kv-Hold"));
  CHECK(sent.head.Find("X-Expect-Instance") == server.id);

  SUBCASE("the connections are reused for the next request") {
    caller.received.clear();
    caller.Send("/once/z");
    CHECK(caller.Receives("answer"));
    CHECK(platform.client.connections_opened() == 1);
  }
  SUBCASE("a request without a route is rejected as such") {
    caller.received.clear();
    caller.Send("/nowhere/");
    CHECK(caller.Receives("HTTP/1.1 404"));
  }
}

TEST_CASE("before a configuration is known, requests are rejected with Retry-After") {
  fake_platform platform;
  fake_caller caller(platform);
  caller.Send("/once/");
  CHECK(caller.Receives("Retry-After"));
  CHECK(caller.received.starts_with("HTTP/1.1 503"));
}

TEST_CASE("a request that must not run twice") {
  fake_platform platform;
  platform.Configure(milliseconds(600));
  scripted_backend& first = platform.AddBackend("plain");
  scripted_backend& second = platform.AddBackend("plain");
  fake_caller caller(platform);
  const auto sent = [&] { return first.requests.size() + second.requests.size(); };

  SUBCASE("is retried at the next server when the first states that it has not run") {
    first.script = second.script = [&](const http1_request& request, http1_responder& answer) {
      (sent() == 1 ? scripted_backend::Reject : scripted_backend::Serve)(request, answer);
    };
    caller.Send("/once/");
    CHECK(caller.Receives("answer"));
    CHECK(sent() == 2);
  }
  SUBCASE("is rejected with Retry-After when no server runs it") {
    first.script = second.script = &scripted_backend::Reject;
    caller.Send("/once/");
    CHECK(caller.Receives("Retry-After"));
    CHECK(caller.received.starts_with("HTTP/1.1 503"));
  }
  SUBCASE("is not retried when its answer is lost, and its outcome is reported as unknown") {
    first.script = second.script = [](const http1_request&, http1_responder& answer) {
      answer.Begin(200, {});
      answer.Abort();
    };
    caller.Send("/once/");
    CHECK(caller.Receives("HTTP/1.1 502"));
    CHECK(sent() == 1);
  }
  SUBCASE("is not rejected when its server does not answer until the deadline") {
    caller.Send("/once/");
    CHECK(caller.Receives("HTTP/1.1 504"));
    CHECK(sent() == 1);
  }
  SUBCASE("gets no success without the header of a genuine answer") {
    first.script = second.script = [](const http1_request& request, http1_responder& answer) {
      answer.Reply(200, {{"X-Request-Id", std::string(*request.head.Find("X-Request-Id"))}}, "x");
    };
    caller.Send("/once/");
    CHECK(caller.Receives("HTTP/1.1 502"));
  }
  SUBCASE("gets no rejection from a server that did not state 'not run'") {
    first.script = second.script = [](const http1_request& request, http1_responder& answer) {
      answer.Reply(503, scripted_backend::Genuine(request), "");
    };
    caller.Send("/once/");
    CHECK(caller.Receives("HTTP/1.1 502"));
    CHECK(sent() == 1);
  }
}

TEST_CASE("a repeatable request is retried elsewhere after a failure or a long silence") {
  fake_platform platform;
  platform.Configure();
  scripted_backend& first = platform.AddBackend("plain");
  scripted_backend& second = platform.AddBackend("plain");
  fake_caller caller(platform);
  const auto sent = [&] { return first.requests.size() + second.requests.size(); };
  bool fails = false;
  first.script = second.script = [&](const http1_request& request, http1_responder& answer) {
    if (sent() > 1) {
      scripted_backend::Serve(request, answer);
    } else if (fails) {
      answer.Reply(500, scripted_backend::Genuine(request), "");
    }
  };
  SUBCASE("error") { fails = true; }
  SUBCASE("silence") {}
  caller.Send("/again/");
  CHECK(caller.Receives("answer"));
  CHECK(sent() == 2);
}

TEST_CASE("a configuration with a longer timeout applies to requests in progress") {
  fake_platform platform;
  platform.Configure(milliseconds(300));
  scripted_backend& server = platform.AddBackend("plain");
  fake_caller caller(platform);
  caller.Send("/once/");
  REQUIRE(caller.Wait([&] { return server.requests.size() == 1; }));
  // The deadline sent to the server is the caller's, which no configuration changes.
  CHECK(std::stoi(std::string(*server.requests[0].head.Find("X-Deadline-Ms"))) > 3000);
  platform.Configure(seconds(3), 2);
  const instant start = timer_service::now();
  caller.Wait([&] { return timer_service::now() - start > milliseconds(600); });
  CHECK(caller.received.empty());
  scripted_backend::Serve(server.requests[0], *server.answers[0]);
  CHECK(caller.Receives("answer"));

  SUBCASE("a configuration with a shorter timeout does not apply to requests in progress") {
    caller.received.clear();
    caller.Send("/once/");
    REQUIRE(caller.Wait([&] { return server.requests.size() == 2; }));
    platform.Configure(milliseconds(100), 3);
    const instant then = timer_service::now();
    caller.Wait([&] { return timer_service::now() - then > milliseconds(400); });
    CHECK(caller.received.empty());
    scripted_backend::Serve(server.requests[1], *server.answers[1]);
    CHECK(caller.Receives("answer"));
  }
}

TEST_CASE("a caller that disconnects cancels its request at the server") {
  fake_platform platform;
  platform.Configure();
  scripted_backend& server = platform.AddBackend("plain");
  fake_caller caller(platform);
  caller.Send("/once/");
  REQUIRE(caller.Wait([&] { return server.requests.size() == 1; }));
  caller.socket.Close();
  CHECK(RunUntil(platform.loop, [&] { return server.callers_gone == 1; }));
  CHECK(platform.router.in_progress() == 0);
}

TEST_CASE("late in a planned stop a request on a kept-alive connection is rejected at once") {
  fake_platform platform;
  platform.Configure();
  scripted_backend& server = platform.AddBackend("plain");
  fake_caller before(platform);
  before.Send("/once/");
  REQUIRE(before.Wait([&] { return server.requests.size() == 1; }));
  platform.router.RejectNewRequests();
  platform.edge->CloseAfterAnswers();

  fake_caller late(platform);
  late.Send("/once/");
  REQUIRE(late.Receives("Retry-After"));
  CHECK(late.received.starts_with("HTTP/1.1 503"));
  CHECK(late.received.find("Connection: close") != std::string::npos);
  CHECK(server.requests.size() == 1);

  scripted_backend::Serve(server.requests[0], *server.answers[0]);
  CHECK(before.Receives("answer"));
}

TEST_CASE("a server that is leaving gets no new request") {
  fake_platform platform;
  platform.Configure();
  scripted_backend& leaving = platform.AddBackend("plain");
  scripted_backend& staying = platform.AddBackend("plain");
  leaving.script = staying.script = &scripted_backend::Serve;
  platform.Publish(leaving, "plain", engine_stage::kNone, true);
  for (int i = 0; i < 8; ++i) {
    fake_caller caller(platform);
    caller.Send("/once/");
    REQUIRE(caller.Receives("answer"));
  }
  CHECK(leaving.requests.empty());
  CHECK(staying.requests.size() == 8);
}

}  // namespace
}  // namespace jacinthspool
