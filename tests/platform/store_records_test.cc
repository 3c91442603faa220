#include "platform/store_records.h"

#include <doctest/doctest.h>

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

TEST_CASE("a registration is accepted only when every member is valid") {
  std::string error;
  store_item item{.key = "servers/i-1",
                  .value = R"({"service":"s1","address":"10.0.0.1:80","zone":"z","slots":64,
                    "state":"draining","coldLeftMs":0,"stage":"prefill","seq":4})",
                  .published = 12};
  const auto record = DecodeBackend(item, error);
  REQUIRE(record);
  CHECK(record->id == "i-1");
  CHECK(record->leaving);
  CHECK(record->stage == engine_stage::kPrefill);
  CHECK(record->published == 12);

  for (const char* text :
       {"\xff\xfe", "{}", R"({"service":"s1","address":7,"zone":"z","slots":1,"state":"ready"})",
        R"({"service":"s1","address":"a:1","zone":"z","slots":-1,"state":"ready"})",
        R"({"service":"s1","address":"a:1","zone":"z","slots":1,"state":"asleep"})"}) {
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
  CHECK_FALSE(
      DecodeStoreReply(R"({"items":[{"key":"a","value":"?","rev":1}],"storeRevision":1})", error));
}

}  // namespace
}  // namespace jacinthspool::platform
