#include "platform/store_records.h"

#include <doctest/doctest.h>
#include <sys/resource.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jacinthspool::platform {
namespace {

constexpr const char* kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","host":"h","prefix":"/a/","kind":"streaming","timeoutMs":14000,"goalMs":900,
   "priority":1,"attempts":2,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "sticky":true,"resumable":true,"gapAimMs":300},
  {"name":"r2","host":"h","prefix":"/b/","kind":"non_idempotent","timeoutMs":1500,"service":"s2"}],
 "services":[{"name":"s1","maxConns":360,"engine":{"kvTokens":42331,"kvHoldS":0.5,"holdMs":2000.0,
   "stride":12,"backups":true}},{"name":"s2"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000}})";

TEST_CASE("a configuration value is decoded into routes and services") {
  std::string error;
  const auto decoded = DecodeConfiguration(kConfiguration, error);
  REQUIRE(decoded);
  CHECK(decoded->version == 7);
  REQUIRE(decoded->routes.size() == 2);
  const forward_route& stream = decoded->routes[0];
  CHECK(stream.kind == request_kind::kStreaming);
  CHECK(stream.repeatable());
  CHECK(stream.max_attempts == 2);
  CHECK(stream.timeout == seconds(14));
  CHECK(stream.silence_limit == milliseconds(3600));
  CHECK(stream.targets.size() == 2);
  CHECK_FALSE(decoded->routes[1].repeatable());
  const engine_profile& engine = *decoded->services.at("s1").engine;
  CHECK(engine.kv_handle_life == milliseconds(500));
  CHECK(engine.longest_hold == seconds(2));
  CHECK(engine.tokens_per_event == 12);
  CHECK_FALSE(decoded->services.at("s2").engine);
  CHECK(decoded->limits.max_body_bytes == 4194304);

  SUBCASE("a configuration with a fault is rejected as a whole, with a reason") {
    for (const char* text : {"", "[]", "{\"version\":7}", "{\"version\":\"7\",\"routes\":[]}",
                             R"({"version":7,"routes":[{"name":1}],"services":[],"limits":{}})"}) {
      error.clear();
      CHECK_FALSE(DecodeConfiguration(text, error));
      CHECK_FALSE(error.empty());
    }
  }
}

TEST_CASE("a configuration value names tenants, each with its keys and its limit") {
  const auto decode = [](const std::string& tenants) {
    std::string text = kConfiguration;
    text.insert(text.size() - 1, ",\"tenants\":" + tenants);
    std::string error;
    return DecodeConfiguration(text, error);
  };
  constexpr const char* kTenant =
      R"({"name":"t1","apiKeys":["k1","k2"],"priority":1,"unit":"token_stream","plainTokens":200,
          "ratePerS":161288.5,"burst":1000})";

  SUBCASE("the keys are kept as digests") {
    const auto decoded = decode(std::string("[") + kTenant + "]");
    REQUIRE(decoded);
    REQUIRE(decoded->tenants);
    REQUIRE(decoded->tenants->tenants.size() == 1);
    const tenant& first = decoded->tenants->tenants.front();
    CHECK(first.name == "t1");
    CHECK(first.keys == std::vector{DigestOfKey("k1"), DigestOfKey("k2")});
    CHECK(first.priority == 1);
    CHECK(first.limit == tenant_limit{.per_second = 161288.5,
                                      .burst = 1000,
                                      .unit = limit_unit::kTokens,
                                      .plain_tokens = 200});
  }
  SUBCASE("an entry that cannot be read costs that tenant only") {
    for (const char* bad : {"7", "{}", R"({"name":"t2"})", R"({"name":"t2","apiKeys":[7]})",
                            R"({"name":"t2","apiKeys":[""]})", R"({"name":"a b","apiKeys":["k3"]})",
                            R"({"name":"t2","apiKeys":["k3"],"unit":"furlong"})",
                            R"({"name":"t2","apiKeys":["k3"],"ratePerS":-1})",
                            R"({"name":"t2","apiKeys":["k3"],"ratePerS":"7"})"}) {
      const auto decoded = decode(std::string("[") + bad + "," + kTenant + "]");
      REQUIRE(decoded);
      CHECK(decoded->tenants->tenants.size() == 1);
      CHECK(decoded->tenants->unreadable == 1);
    }
  }
  SUBCASE("an empty list is a list, and null is none") {
    CHECK(decode("[]")->tenants != nullptr);
    CHECK(decode("null")->tenants == nullptr);
    CHECK_FALSE(decode("7"));
  }
}

TEST_CASE("a registration is accepted only when every member is valid") {
  std::string error;
  store_item item{
      .key = "servers/i-1",
      .value = R"({"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","slots":64,
                    "state":"draining","coldLeftMs":0,"stage":"prefill","seq":4})",
      .published = 12};
  const auto record = DecodeBackend(item, error);
  REQUIRE(record);
  CHECK(record->id == "i-1");
  CHECK(record->leaving);
  CHECK(record->stage == engine_stage::kPrefill);
  CHECK(record->published == 12);
  CHECK(record->software == "v1");

  for (
      const char* text :
      {"\xff\xfe", "{}",
       R"({"service":"s1","address":7,"zone":"z","version":"v1","slots":1,"state":"ready","coldLeftMs":0,"seq":4})",
       R"({"service":"s1","address":"a:1","zone":"z","version":"v1","slots":-1,"state":"ready","coldLeftMs":0,"seq":4})",
       R"({"service":"s1","address":"a:1","zone":"z","version":"v1","slots":1,"state":"asleep","coldLeftMs":0,"seq":4})"}) {
    item.value = text;
    error.clear();
    CHECK_FALSE(DecodeBackend(item, error));
    CHECK_FALSE(error.empty());
  }
}

TEST_CASE("store replies contain items, changes and the store revision") {
  std::string error;
  const auto reply = DecodeStoreReply(
      R"({"events":[{"key":"a","value":"bm9kZS0x","rev":412,"createRev":1,"lease":0},
          {"key":"b","rev":413,"tombstone":true}],"storeRevision":413})",
      error);
  REQUIRE(reply);
  REQUIRE(reply->items.size() == 2);
  CHECK(reply->items[0].value == "node-1");
  CHECK(reply->items[1].removed);
  CHECK(reply->revision == 413);
}

/// Items that no reader can use, as JSON text.
const std::vector<std::string>& OddItems() {
  static const std::vector<std::string> items = {
      R"({"key":"servers/m","value":"?","rev":1})",
      R"({"key":"servers/m","value":7,"rev":1})",
      R"({"key":"servers/m","rev":1})",
      R"({"key":"servers/m","value":"e30="})",
      R"({"key":"servers/m","value":"e30=","rev":"1"})",
      R"({"key":"servers/m","value":"e30=","rev":-1})",
      R"({"key":"servers/m","value":"e30=","rev":1e30})",
      R"({"key":"servers/m","value":"e30=","rev":99999999999999999999999})",
      R"({"key":"servers/m","rev":1,"tombstone":"yes"})",
      R"({"key":7,"value":"e30=","rev":1})",
      R"({"value":"e30=","rev":1})",
      "{}",
      "[]",
      "7",
      "null",
      R"("servers/m")"};
  return items;
}

std::vector<std::string> UsableKeys(const store_reply& reply) {
  std::vector<std::string> keys;
  for (const store_item& each : reply.items) {
    if (each.fault.empty()) {
      keys.push_back(each.key);
    }
  }
  return keys;
}

TEST_CASE("an item that cannot be read does not hide the others of its reply") {
  for (const std::string& odd : OddItems()) {
    CAPTURE(odd);
    for (const char* list : {"items", "events"}) {
      std::string error;
      const auto reply =
          DecodeStoreReply(R"({"storeRevision":9,")" + std::string(list) +
                               R"(":[{"key":"servers/a","value":"e30=","rev":1},)" + odd +
                               R"(,{"key":"servers/z","value":"e30=","rev":2}]})",
                           error);
      REQUIRE(reply);
      CHECK(UsableKeys(*reply) == std::vector<std::string>{"servers/a", "servers/z"});
      CHECK(reply->items.size() == 3);
    }
  }
  SUBCASE("a reply without a list or a revision is none") {
    std::string error;
    for (const char* text :
         {R"({"items":[]})", R"({"items":7,"storeRevision":1})", R"({"storeRevision":-1})",
          R"({"events":{},"storeRevision":1})", R"({"storeRevision":1})",
          R"({"items":[],"storeRevision":1)", "[]", ""}) {
      CAPTURE(text);
      CHECK_FALSE(DecodeStoreReply(text, error));
    }
  }
}

TEST_CASE("a registration under a key without the prefix is refused") {
  for (const char* key : {"", "s", "servers", "servers/", "other/i-1"}) {
    CAPTURE(key);
    std::string error;
    const store_item item{
        .key = key,
        .value =
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":1,"state":"ready","coldLeftMs":0,"seq":4})",
        .published = 12};
    std::optional<backend_record> record;
    CHECK_NOTHROW(record = DecodeBackend(item, error));
    CHECK_FALSE(record);
    CHECK_FALSE(error.empty());
  }
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("a registration with an address that is none or a number out of range is refused") {
  const std::string valid =
      R"({"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"seq":4,"born":5})";
  const auto decode = [](const std::string& value, const std::string& key = "servers/i-1") {
    std::string error;
    auto record = DecodeBackend({.key = key, .value = value, .published = 12}, error);
    CHECK(record.has_value() == error.empty());
    return record;
  };
  REQUIRE(decode(valid));
  for (const char* member :
       {R"("version":"v1",)", R"("coldLeftMs":0,)", R"(,"seq":4)", R"("zone":"z",)"}) {
    CAPTURE(member);
    CHECK_FALSE(decode(Replaced(valid, member, "")));
  }
  CHECK_FALSE(decode(Replaced(valid, R"("seq":4)", R"("seq":"4")")));
  CHECK_FALSE(decode(Replaced(valid, R"("version":"v1")", R"("version":[])")));
  const auto numbered = decode(Replaced(valid, R"("version":"v1")", R"("version":12)"));
  REQUIRE(numbered);
  CHECK(numbered->software == "12");
  CHECK_FALSE(decode(
      Replaced(valid, R"("version":"v1")", "\"version\":\"" + std::string(999, 'v') + "\"")));
  CHECK_FALSE(decode(Replaced(valid, R"("coldLeftMs":0)", R"("coldLeftMs":-1)")));
  CHECK(decode(Replaced(valid, R"("coldLeftMs":0)", R"("coldLeftMs":12.5)")));
  for (const char* address : {"",
                              ":",
                              ":80",
                              "10.0.0.1",
                              "10.0.0.1:",
                              "10.0.0.1:0",
                              "10.0.0.1:65536",
                              "10.0.0.1:-1",
                              "10.0.0.1:99999999999999999999",
                              "10.0.0.1:80x",
                              "10.0.0.1:5:80",
                              "10.0.0:80",
                              "10.0.0.256:80",
                              "host:80",
                              "10.0.0.1:80/x",
                              "10.0.0.1 :80",
                              "10.0.0.1\\r\\nA: b:80",
                              "10.0.0.1\\u0000:80",
                              "[::1:80",
                              "::1]:80",
                              "::1:80",
                              "[::1]x:80"}) {
    CAPTURE(address);
    CHECK_FALSE(decode(Replaced(valid, "10.0.0.1:80", address)));
  }
  for (const char* address : {"10.0.0.1:1", "10.0.0.1:65535", "[::1]:80"}) {
    CAPTURE(address);
    CHECK(decode(Replaced(valid, "10.0.0.1:80", address)));
  }
  for (const char* number : {"4294967296", "4294967297", "18446744073709551615", "1e30", "1.5",
                             "-1", "99999999999999999999999", "\"64\"", "null"}) {
    CAPTURE(number);
    CHECK_FALSE(decode(Replaced(valid, "64", number)));
  }
  for (const char* number : {"1e30", "5.5", "-5", "99999999999999999999999", "\"5\"", "null"}) {
    CAPTURE(number);
    CHECK_FALSE(decode(Replaced(valid, ":5", ":" + std::string(number))));
  }
  SUBCASE("an id that cannot stand in a header is refused") {
    for (const char* id : {" ", "a b", "a\r\nX-Kv-Hold: 1", "\xc3\xa4", "\x7f", "\x01"}) {
      CAPTURE(id);
      CHECK_FALSE(decode(valid, "servers/" + std::string(id)));
    }
    CHECK_FALSE(decode(valid, "servers/" + std::string(300, 'x')));
  }
}

TEST_CASE("a configuration with a number out of range is refused as a whole") {
  std::string error;
  REQUIRE(DecodeConfiguration(kConfiguration, error));
  const auto refused = [&](const std::string& from, const std::string& to) {
    CAPTURE(to);
    error.clear();
    CHECK_FALSE(DecodeConfiguration(Replaced(kConfiguration, from, to), error));
    CHECK_FALSE(error.empty());
  };
  // 64-bit times overflow when they are added to instants, and 32-bit ones are truncated.
  for (const char* number : {"4294967296", "9223372036854775807", "9223372036854775808",
                             "18446744073709551615", "1e300", "1e400", "-1", "1.5"}) {
    const std::string text = number;
    for (const char* name :
         {"\"timeoutMs\":14000", "\"goalMs\":900", "\"gapAimMs\":300", "\"priority\":1",
          "\"attempts\":2", "\"weight\":90", "\"stride\":12", "\"maxHeaderBytes\":16384",
          "\"headerTimeoutMs\":3000", "\"idleTimeoutMs\":15000"}) {
      const std::string member = name;
      refused(member, member.substr(0, member.find(':') + 1) + text);
    }
  }
  for (const char* number : {"1e300", "1e18", "4294968", "-0.5", "\"1\"", "null", "[]"}) {
    refused("\"kvHoldS\":0.5", "\"kvHoldS\":" + std::string(number));
  }
  for (const char* number : {"1e300", "1e18", "4294967296", "-1", "\"1\"", "null"}) {
    refused("\"holdMs\":2000.0", "\"holdMs\":" + std::string(number));
  }
  SUBCASE("whole numbers may be written as fractions or with an exponent") {
    for (const char* number : {"900.0", "9e2", "9.0E+2", "90000e-2"}) {
      const auto read = DecodeConfiguration(
          Replaced(kConfiguration, "\"goalMs\":900", "\"goalMs\":" + std::string(number)), error);
      CAPTURE(number);
      REQUIRE(read);
      CHECK(read->routes[0].latency_objective == milliseconds(900));
    }
  }
  SUBCASE("the longest times are read as they are") {
    const auto longest = DecodeConfiguration(
        Replaced(kConfiguration, "\"goalMs\":900", "\"goalMs\":4294967295"), error);
    REQUIRE(longest);
    CHECK(longest->routes[0].latency_objective == milliseconds(4294967295LL));
    CHECK(longest->routes[0].silence_limit == milliseconds(4294967295LL));
  }
  SUBCASE("a member of another type is not taken for an empty one") {
    for (const char* text : {R"({"version":7,"routes":{},"services":[],"limits":{}})",
                             R"({"version":7,"routes":null,"services":[],"limits":{}})",
                             R"({"version":7,"routes":[],"services":{},"limits":{}})"}) {
      CAPTURE(text);
      const std::string limits =
          R"({"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":1})";
      CHECK_FALSE(DecodeConfiguration(Replaced(text, "{}}", limits + "}"), error));
    }
    refused(R"("engine":{"kvTokens":42331,"kvHoldS":0.5,"holdMs":2000.0,
   "stride":12,"backups":true})",
            "\"engine\":7");
    refused(R"("split":[{"service":"s1","weight":90},{"service":"s2","weight":10}])",
            "\"split\":7");
  }
}

std::string Nested(std::size_t depth, const std::string& open, const std::string& close) {
  std::string text;
  for (std::size_t i = 0; i < depth; ++i) {
    text += open;
  }
  text += "1";
  for (std::size_t i = 0; i < depth; ++i) {
    text += close;
  }
  return text;
}

/// \returns Peak memory of this process in KB, as the kernel counts it.
std::int64_t PeakMemoryKb() {
  rusage used{};
  REQUIRE(getrusage(RUSAGE_SELF, &used) == 0);
  return used.ru_maxrss;
}

TEST_CASE("a very deeply nested entry is refused, and takes no more memory than its text") {
  for (const std::size_t depth : {std::size_t{40}, std::size_t{1000000}}) {
    for (const bool arrays : {true, false}) {
      CAPTURE(depth);
      CAPTURE(arrays);
      const std::string deep = arrays ? Nested(depth, "[", "]") : Nested(depth, "{\"a\":", "}");
      std::string error;
      CHECK_FALSE(DecodeBackend(
          {.key = "servers/i-1",
           .value = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":1,)"
                    R"("state":"ready","coldLeftMs":0,"seq":4,"extra":)" +
                    deep + "}",
           .published = 12},
          error));
      CHECK(error == "nested too deeply");
      std::string configuration = kConfiguration;
      configuration.insert(1, "\"extra\":" + deep + ",");
      error.clear();
      CHECK_FALSE(DecodeConfiguration(configuration, error));
      CHECK(error == "nested too deeply");
    }
  }
  SUBCASE("a reply with a deeply nested item keeps its other items") {
    for (const std::string& odd :
         {Nested(1000000, "[", "]"), R"({"key":)" + Nested(1000000, "[", "]") + "}",
          R"({"key":"servers/m","value":)" + Nested(1000000, "{\"a\":", "}") + R"(,"rev":1})"}) {
      std::string error;
      const auto reply = DecodeStoreReply(
          R"({"storeRevision":9,"items":[{"key":"servers/a","value":"e30=","rev":1},)" + odd +
              R"(,{"key":"servers/z","value":"e30=","rev":2}]})",
          error);
      REQUIRE(reply);
      CHECK(UsableKeys(*reply) == std::vector<std::string>{"servers/a", "servers/z"});
    }
  }
  SUBCASE("memory") {
    const std::string value = std::string(12U << 20U, '[');
    const std::int64_t before = PeakMemoryKb();
    std::string error;
    CHECK_FALSE(DecodeBackend({.key = "servers/i-1", .value = value, .published = 12}, error));
    CHECK(PeakMemoryKb() - before < 64 * 1024);
  }
}

TEST_CASE("the reason why an entry cannot be read is short") {
  std::string error;
  const store_item item{.key = "servers/i-1",
                        .value = R"({"state":")" + std::string(1U << 20U, 'x') + R"("})",
                        .published = 12};
  CHECK_FALSE(DecodeBackend(item, error));
  CHECK(error.size() <= 200);
  error.clear();
  CHECK_FALSE(DecodeConfiguration(std::string(1U << 20U, '"'), error));
  CHECK_FALSE(DecodeConfiguration("\"" + std::string(1U << 20U, 'x'), error));
  CHECK(error.size() <= 200);
}

}  // namespace
}  // namespace jacinthspool::platform
