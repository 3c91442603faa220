#include "platform/replica_dialect.h"

#include <doctest/doctest.h>

namespace jacinthspool::platform {
namespace {

http1_head Head(http_headers headers) {
  return {.method = "POST", .target = "/a/b?c", .status = 200, .headers = std::move(headers)};
}

TEST_CASE("client headers are forwarded except reserved and hop-by-hop headers") {
  const replica_dialect dialect;
  const auto request = dialect.DecodeRequest(Head({{"Host", "h.example"},
                                                   {"X-Request-Id", "r1"},
                                                   {"X-Deadline-Ms", "14000"},
                                                   {"X-Token-Count", "1460,80"},
                                                   {"X-Length-Hint", "40"},
                                                   {"Last-Event-Id", "12"},
                                                   {"Resumes", "r0"},
                                                   {"X-Kv-Hold", "forged"},
                                                   {"x-kv-source", "forged"},
                                                   {"X-Pin-Ms", "9"},
                                                   {"X-Kv-Backup", "forged"},
                                                   {"X-Stage", "prefill"},
                                                   {"Kv-Fetch", "forged"},
                                                   {"Connection", "X-Private, keep-alive"},
                                                   {"X-Private", "1"},
                                                   {"X-Other", "kept"}}));
  REQUIRE(request);
  CHECK(request->id == "r1");
  CHECK(request->time_left == seconds(14));
  CHECK(request->resume_after == 12);
  CHECK(request->stream_id == "r0");
  CHECK(request->model->prompt_tokens == 1460);
  CHECK(request->model->expected_output_tokens == 40);

  const std::string bytes = dialect.EncodeAttempt(
      *request, {.backend_id = "i-1", .time_left = milliseconds(900), .resume_after = 15});
  CHECK(bytes.starts_with("POST /a/b?c HTTP/1.1\r\n"));
  for (const char* wanted :
       {"X-Request-Id: r1\r\n", "X-Deadline-Ms: 900\r\n", "X-Other: kept\r\n", "Resumes: r0\r\n",
        "X-Expect-Instance: i-1\r\n", "Last-Event-Id: 15\r\n"}) {
    CHECK(bytes.find(wanted) != std::string::npos);
  }
  SUBCASE("of several streams that a request names none is believed") {
    const auto twice = dialect.DecodeRequest(
        Head({{"Host", "h"}, {"Last-Event-Id", "12"}, {"Resumes", "r0"}, {"resumes", "r1"}}));
    REQUIRE(twice);
    CHECK(twice->stream_id.empty());
  }
  for (const char* banned : {"forged", "X-Pin-Ms", "X-Stage", "X-Private", "14000"}) {
    CHECK(bytes.find(banned) == std::string::npos);
  }
}

TEST_CASE("a server receives the name of the caller's tenant, and never the key") {
  const replica_dialect dialect;
  const auto request = dialect.DecodeRequest(
      Head({{"Host", "h"}, {"x-key", "secret"}, {"X-Tenant", "forged"}, {"X-Other", "kept"}}));
  REQUIRE(request);
  CHECK(request->key == DigestOfKey("secret"));
  const auto encode = [&](std::optional<std::string> tenant) {
    return dialect.EncodeAttempt(*request, {.backend_id = "i-1", .tenant = std::move(tenant)});
  };
  const auto has = [](const std::string& bytes, const char* text) {
    return bytes.find(text) != std::string::npos;
  };

  SUBCASE("whatever the caller states") {
    const std::string bytes = encode("t1");
    CHECK(has(bytes, "X-Tenant: t1\r\n"));
    CHECK(has(bytes, "X-Other: kept\r\n"));
    CHECK_FALSE(has(bytes, "secret"));
    CHECK_FALSE(has(bytes, "forged"));
  }
  SUBCASE("neither of them on a public route") {
    const std::string bytes = encode("");
    CHECK_FALSE(has(bytes, "secret"));
    CHECK_FALSE(has(bytes, "X-Tenant"));
  }
  SUBCASE("without tenants the headers are as any others") {
    const std::string bytes = encode(std::nullopt);
    CHECK(has(bytes, "x-key: secret\r\n"));
    CHECK(has(bytes, "X-Tenant: forged\r\n"));
  }
  SUBCASE("two keys are none") {
    CHECK_FALSE(dialect.DecodeRequest(Head({{"Host", "h"}, {"X-Key", "a"}, {"X-Key", "b"}}))->key);
  }
}

TEST_CASE("a request whose deadline header is not a number is rejected") {
  const replica_dialect dialect;
  CHECK_FALSE(dialect.DecodeRequest(Head({{"Host", "h"}, {"X-Deadline-Ms", "-5"}})));
  CHECK_FALSE(dialect.DecodeRequest(Head({{"Host", "h"}, {"X-Deadline-Ms", "soon"}})));
}

TEST_CASE("a request states the parts of its prompt that other requests may share") {
  using parts = std::vector<std::uint64_t>;
  const replica_dialect dialect;
  const auto decode = [&](const std::vector<std::string>& values) {
    http_headers headers = {{"Host", "h"}};
    for (const std::string& each : values) {
      headers.emplace_back("X-Prompt-Prefix", each);
    }
    const auto request = dialect.DecodeRequest(Head(std::move(headers)));
    REQUIRE(request);
    CHECK(request->passed.size() == values.size() + 1);
    return *request;
  };
  const std::string longest = "ffffffffffffffff:1";
  std::string many = "1:1";
  for (int i = 1; i < 128; ++i) {
    many += ",1:1";
  }
  SUBCASE("all but the last, in order, in upper or lower case") {
    CHECK(decode({"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}).shared_parts ==
          parts{0x5c1e07a2, 0x91bd3f06});
    CHECK(decode({"5C1E07A2:800, 91bD3f06:410 ,\te4402b7d:250 "}).shared_parts ==
          parts{0x5c1e07a2, 0x91bd3f06});
    CHECK(decode({",a:1, ,b:2,"}).shared_parts == parts{0xa});
    CHECK(decode({longest + "," + longest}).shared_parts == parts{UINT64_MAX});
    CHECK(decode({many}).shared_parts == parts(127, 1));
  }
  SUBCASE("in repeated headers as well") {
    CHECK(decode({"a:1,b:2", "c:3"}).shared_parts == parts{0xa, 0xb});
  }
  SUBCASE("none") {
    for (const auto& values : std::vector<std::vector<std::string>>{{}, {""}, {","}, {"a:1"}}) {
      CHECK(decode(values).shared_parts.empty());
      CHECK_FALSE(decode(values).parts_unreadable);
    }
  }
  SUBCASE("an unreadable header states none and is forwarded unchanged") {
    std::string thousands = many;
    for (int i = 0; i < 5000; ++i) {
      thousands += ",2:1";
    }
    for (const std::string& value :
         {std::string("a:1,0xb:2,c:3"), std::string("a:1,-b:2,c:3"), std::string("a:1,g:2,c:3"),
          std::string("a:1,b b:2,c:3"), std::string("a:1,:2,c:3"), std::string("a:1,b,c:3"),
          std::string("a:1,b:,c:3"), std::string("a:1,b:-2,c:3"), std::string("a:1,b:2:3,c:3"),
          std::string("a:1,b:2,c"), std::string("0") + longest + ",a:1", many + ",1:1",
          thousands}) {
      CAPTURE(value.substr(0, 20));
      CHECK(decode({value}).shared_parts.empty());
      CHECK(decode({value}).parts_unreadable);
      CHECK(decode({"a:1,b:2", value}).shared_parts.empty());
    }
  }
}

TEST_CASE("a response is sound only with the server stamp and the request id") {
  const replica_dialect dialect;
  const forward_request request{.id = "r1"};
  CHECK(
      dialect.DecodeReply(Head({{"X-Request-Id", "r1"}, {"X-Server-Stamp", "s"}}), request).sound);
  CHECK_FALSE(dialect.DecodeReply(Head({{"X-Request-Id", "r1"}}), request).sound);
  CHECK_FALSE(dialect.DecodeReply(Head({{"X-Server-Stamp", "s"}}), request).sound);
  CHECK_FALSE(
      dialect
          .DecodeReply(
              Head({{"X-Request-Id", "r1"}, {"X-Server-Stamp", "s"}, {"Content-Encoding", "gzip"}}),
              request)
          .sound);
  const auto origin = [&](const http_headers& headers) {
    return dialect.DecodeReply(Head(headers), request).origin;
  };
  CHECK(origin({{"X-Request-Id", "r1"}}) == reply_origin::kThisRequest);
  CHECK(origin({{"X-Request-Id", "r2"}, {"X-Server-Stamp", "s"}}) == reply_origin::kAnotherRequest);
  CHECK(origin({{"X-Not-Run", "1"}}) == reply_origin::kUnstated);
  CHECK(origin({{"X-Request-Id", ""}}) == reply_origin::kUnstated);
}

TEST_CASE("a reply states that the request has not run only with a status that rejects it") {
  const replica_dialect dialect;
  const forward_request request{.id = "r1"};
  const auto facts = [&](int status, bool states) {
    http1_head head = Head({{"X-Request-Id", "r1"}, {"X-Server-Stamp", "s"}});
    if (states) {
      head.headers.emplace_back("X-Not-Run", "1");
    }
    head.status = status;
    return dialect.DecodeReply(head, request);
  };
  for (const int status : {400, 404, 408, 413, 421, 429, 503}) {
    CAPTURE(status);
    CHECK(facts(status, true).not_run);
    CHECK(facts(status, true).sound);
    CHECK(facts(status, false).not_run == (status == 421));
  }
  for (const int status : {200, 204, 302, 500, 502, 504}) {
    CAPTURE(status);
    CHECK_FALSE(facts(status, true).not_run);
    CHECK_FALSE(facts(status, true).sound);
    CHECK_FALSE(facts(status, false).not_run);
  }
}

TEST_CASE("a response states the request rate that its server accepts") {
  const replica_dialect dialect;
  const auto rate = [&](http_headers headers, int status = 200) {
    headers.emplace_back("X-Server-Stamp", "s");
    http1_head head = Head(std::move(headers));
    head.status = status;
    return dialect.DecodeNotice(head).rate;
  };
  SUBCASE("as a decimal number, the lowest of several") {
    CHECK(std::get<rate_limited>(rate({{"Server-Limit", "2.9"}})).per_second == 2.9);
    CHECK(std::get<rate_limited>(rate({{"server-limit", "0"}}, 500)).per_second == 0);
    CHECK(std::get<rate_limited>(rate({{"Server-Limit", "7"}, {"Server-Limit", "3"}})).per_second ==
          3);
  }
  SUBCASE("without the header it accepts any rate") {
    CHECK(std::holds_alternative<rate_unlimited>(rate({})));
  }
  SUBCASE("nothing is stated by another server, or without the server's stamp") {
    CHECK(std::holds_alternative<rate_unstated>(rate({{"Server-Limit", "3"}}, 421)));
    CHECK(std::holds_alternative<rate_unstated>(dialect.DecodeNotice(Head({})).rate));
  }
  SUBCASE("an invalid value is unreadable") {
    for (const char* value :
         {"", "-1", "+3", "1e3", "nan", "inf", "3/s", "0x10", "3,5", "1000001", "many"}) {
      CAPTURE(value);
      CHECK(std::get<rate_unreadable>(rate({{"Server-Limit", value}})).text == value);
    }
  }
}

}  // namespace
}  // namespace jacinthspool::platform
