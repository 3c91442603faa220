#include <doctest/doctest.h>
#include <fcntl.h>

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
    first.script = second.script = [&](const http1_request& request, any_answer& answer) {
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
    first.script = second.script = [](const http1_request&, any_answer& answer) {
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
    first.script = second.script = [](const http1_request& request, any_answer& answer) {
      answer.Reply(200, {{"X-Request-Id", std::string(*request.head.Find("X-Request-Id"))}}, "x");
    };
    caller.Send("/once/");
    CHECK(caller.Receives("HTTP/1.1 502"));
  }
  SUBCASE("gets no rejection from a server that did not state 'not run'") {
    first.script = second.script = [](const http1_request& request, any_answer& answer) {
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
  first.script = second.script = [&](const http1_request& request, any_answer& answer) {
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

/// A backend server that writes any bytes at any time.
struct raw_backend {
  fake_platform& platform;
  raw_socket listener = raw_socket::Listen();
  std::vector<raw_socket> connections = {};
  std::string read = {};  ///< Bytes of the newest connection that no request was taken from.

  explicit raw_backend(fake_platform& the_platform, const std::string& service,
                       engine_stage stage = engine_stage::kNone)
      : platform(the_platform) {
    fcntl(listener.descriptor(), F_SETFL, O_NONBLOCK);
    platform.router.OnBackendPut({.id = "raw",
                                  .service = service,
                                  .address = "127.0.0.1:" + std::to_string(listener.port()),
                                  .data_centre = "dc",
                                  .stage = stage,
                                  .slots = 4,
                                  .published = ++platform.revision});
  }
  /// \returns true when a complete request with that text has arrived, which is then taken.
  bool Takes(fake_caller& caller, std::string_view text) {
    const auto end = [&] {
      const std::size_t at = read.find(text);
      return at == std::string::npos ? at : read.find("\r\n\r\n", at);
    };
    const bool arrived = caller.Wait([&] {
      if (raw_socket next = listener.Accept(); next.is_open()) {
        read.clear();
        connections.push_back(std::move(next));
      }
      if (!connections.empty()) {
        connections.back().Read(read);
      }
      return end() != std::string::npos || !caller.open ||
             caller.received.find("HTTP/1.1 5") != std::string::npos;
    });
    const bool taken = arrived && end() != std::string::npos;
    read.erase(0, taken ? end() : 0);
    return taken;
  }
  void Write(std::string_view text) const { connections.back().Write(text); }
  bool NewestIsClosed(fake_caller& caller) {
    return caller.Wait([&] { return !connections.back().Read(read); });
  }
};

std::string Reply(std::string_view status, std::string_view headers, std::string_view body = "") {
  return "HTTP/1.1 " + std::string(status) + " x\r\n" + std::string(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}
constexpr const char* kMarks = "X-Request-Id: r1\r\nX-Server-Stamp: s\r\n";

/// Refusals that a server has written before, without the id of a request.
const std::vector<std::string>& EarlierRefusals() {
  static const std::vector<std::string> refusals = {
      Reply("503", "X-Not-Run: 1\r\n"),
      Reply("503", "X-Not-Run: 1\r\nX-Server-Stamp: s\r\n"),
      Reply("429", "X-Not-Run: 1\r\n"),
      Reply("408", "X-Not-Run: 1\r\n"),
      Reply("400", "X-Not-Run: 1\r\n"),
      Reply("421", ""),
      Reply("421", "X-Not-Run: 1\r\n"),
      Reply("503", "X-Not-Run: 1\r\nX-Request-Id: r0\r\n"),
      Reply("503", "X-Not-Run: 1\r\nX-Request-Id: \r\n")};
  return refusals;
}

TEST_CASE("an earlier refusal, written once more, is not told to the next caller") {
  for (const std::string& refusal : EarlierRefusals()) {
    CAPTURE(refusal);
    fake_platform platform;
    platform.Configure(milliseconds(700));
    raw_backend server(platform, "plain");
    fake_caller caller(platform);
    caller.Send("/once/1");
    REQUIRE(server.Takes(caller, "POST /once/1"));
    server.Write(Reply("200", kMarks, "first"));
    REQUIRE(caller.Receives("first"));
    scripted_backend& other = platform.AddBackend("plain");
    other.script = &scripted_backend::Serve;
    platform.Publish(other, "plain", engine_stage::kNone, true);
    caller.received.clear();
    caller.Send("/once/2");
    REQUIRE(server.Takes(caller, "POST /once/2"));
    REQUIRE(server.connections.size() == 1);
    platform.Publish(other, "plain", engine_stage::kNone, false);
    server.Write(refusal);

    SUBCASE("the request is running: its answer reaches the caller, and it runs nowhere else") {
      const instant start = timer_service::now();
      caller.Wait([&] { return timer_service::now() - start > milliseconds(30); });
      server.Write(Reply("200", kMarks, "second"));
      CHECK(caller.Receives("second"));
      CHECK(caller.received.starts_with("HTTP/1.1 200"));
      CHECK(server.NewestIsClosed(caller));
    }
    SUBCASE("the answer never comes: the outcome is unknown") {
      CHECK(caller.Receives("HTTP/1.1 504"));
    }
    SUBCASE("the connection breaks: the outcome is unknown") {
      server.connections.back().Reset();
      CHECK(caller.Receives("HTTP/1.1 502"));
    }
    CHECK(other.requests.empty());
  }
}

TEST_CASE("a refusal that belongs to the request is believed") {
  fake_platform platform;
  platform.Configure();
  raw_backend server(platform, "plain");
  fake_caller caller(platform);
  std::string refusal;
  SUBCASE("it has no id, and the connection has carried no other request") {
    refusal = Reply("503", "X-Not-Run: 1\r\n");
  }
  SUBCASE("it has the request's id") {
    caller.Send("/once/1");
    REQUIRE(server.Takes(caller, "POST /once/1"));
    server.Write(Reply("200", kMarks, "first"));
    REQUIRE(caller.Receives("first"));
    caller.received.clear();
    refusal = Reply("503", "X-Not-Run: 1\r\nX-Request-Id: r1\r\n");
  }
  caller.Send("/once/2");
  REQUIRE(server.Takes(caller, "POST /once/2"));
  scripted_backend& other = platform.AddBackend("plain");
  other.script = &scripted_backend::Serve;
  server.Write(refusal);
  CHECK(caller.Receives("answer"));
  CHECK(other.requests.size() == 1);
}

TEST_CASE("a request without an id gets a connection of its own, so that its refusal is known") {
  fake_platform platform;
  platform.Configure();
  raw_backend server(platform, "plain");
  fake_caller caller(platform);
  caller.Send("/once/1");
  REQUIRE(server.Takes(caller, "POST /once/1"));
  server.Write(Reply("200", kMarks, "first"));
  REQUIRE(caller.Receives("first"));
  caller.received.clear();
  caller.socket.Write("POST /once/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(server.Takes(caller, "POST /once/2"));
  CHECK(server.connections.size() == 2);
  server.Write(Reply("400", "X-Not-Run: 1\r\n"));
  CHECK(caller.Receives("HTTP/1.1 503"));
}

TEST_CASE("a refused reservation, written once more, does not refuse the request that follows") {
  fake_platform platform;
  platform.Configure();
  raw_backend engine(platform, "model", engine_stage::kDecode);
  fake_caller caller(platform);
  constexpr const char* kSizes = "X-Token-Count: 30,10\r\n";
  caller.Send("/brittle/", kSizes);
  REQUIRE(engine.Takes(caller, "POST /v1/hold-take"));

  SUBCASE("in place of the answer to the run") {
    engine.Write(Reply("200", "", R"({"hold":"h1"})"));
    REQUIRE(engine.Takes(caller, "POST /brittle/"));
    REQUIRE(engine.connections.size() == 1);
    engine.Write(Reply("503", "X-Not-Run: 1\r\n", "{}"));
    engine.Write(Reply("200", std::string(kMarks) + "X-Stream: 1\r\n",
                       scripted_backend::Event(1) + scripted_backend::Event(2)));
    CHECK(caller.Receives(scripted_backend::Event(2)));
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
  }
  SUBCASE("in place of the answer to the reservation, with the id of an earlier request") {
    engine.Write(Reply("503", "X-Not-Run: 1\r\nX-Request-Id: r0\r\n"));
    engine.Write(Reply("200", "", R"({"hold":"h1"})"));
    REQUIRE(engine.Takes(caller, "POST "));
    CHECK(engine.read.find("X-Kv-Hold") == std::string::npos);
    CHECK(caller.received.empty());
  }
}

TEST_CASE("a request whose key no tenant holds is rejected before any server sees it") {
  fake_platform platform;
  platform.Configure();
  scripted_backend& server = platform.AddBackend("plain");
  server.script = scripted_backend::Serve;
  auto with_tenants = std::make_shared<forward_configuration>(*platform.router.configuration());
  with_tenants->version = 2;
  with_tenants->routes[1].is_public = true;
  with_tenants->tenants = std::make_shared<const tenant_list>(
      tenant_list{.tenants = {{.name = "t1", .keys = {DigestOfKey("good")}}}});
  platform.router.OnConfiguration(std::move(with_tenants));
  fake_caller caller(platform);

  SUBCASE("no key") {
    caller.Send("/once/a");
    CHECK(caller.Receives("HTTP/1.1 401"));
    CHECK(server.requests.empty());
  }
  SUBCASE("an unknown key") {
    caller.Send("/once/a", "X-Key: bad\r\n");
    CHECK(caller.Receives("HTTP/1.1 401"));
    CHECK(server.requests.empty());
  }
  SUBCASE("a tenant's key: the server is told the tenant") {
    caller.Send("/once/a", "X-Key: good\r\nX-Tenant: forged\r\n");
    REQUIRE(caller.Receives("HTTP/1.1 200"));
    CHECK(server.requests.front().head.Find("X-Tenant") == "t1");
    CHECK_FALSE(server.requests.front().head.Find("X-Key"));
  }
  SUBCASE("a public route needs none, and passes none on") {
    caller.Send("/again/a", "X-Key: bad\r\nX-Tenant: forged\r\n");
    REQUIRE(caller.Receives("HTTP/1.1 200"));
    CHECK_FALSE(server.requests.front().head.Find("X-Tenant"));
    CHECK_FALSE(server.requests.front().head.Find("X-Key"));
  }
}

}  // namespace
}  // namespace jacinthspool
