#include <doctest/doctest.h>

#include <cstdio>
#include <string>

#include "platform/store_records.h"
#include "platform/store_watch.h"
#include "src/transport/http1_server.h"
#include "tests/platform/counting_listener.h"
#include "tests/transport/loop_until.h"

namespace jacinthspool::platform {
namespace {

// Guards against a list that grows page by page until the process has no memory left.
TEST_CASE("a list whose pages never end is given up") {
  std::size_t items_on_page = 1;
  std::string value;
  SUBCASE("with many small items") { items_on_page = 400; }
  SUBCASE("with few large items") { value = std::string(700'000, 'A'); }
  event_loop loop;
  timer_service timers(loop);
  std::string error;
  std::size_t pages = 0;
  std::size_t number = 0;
  const auto store = http1_server::Listen(
      {.loop = loop,
       .timers = timers,
       .address = "127.0.0.1:0",
       .on_request =
           [&](const http1_request& request, http1_responder answer) {
             std::string items;
             const bool backends = request.head.target.find("servers") != std::string::npos;
             for (std::size_t i = 0; backends && i < items_on_page; ++i) {
               char key[32];
               std::snprintf(key, sizeof(key), "servers/%09zu", ++number);
               items += std::string(items.empty() ? "" : ",") + R"({"key":")" + key +
                        R"(","rev":1,"value":")" + value + R"("})";
             }
             pages += backends ? 1 : 0;
             std::move(answer).Reply(200, {},
                                     R"({"storeRevision":1,"truncated":)" +
                                         std::string(backends ? "true" : "false") +
                                         R"(,"items":[)" + items + "]}");
           }},
      error);
  counting_listener listener;
  store_watch watch({.loop = loop,
                     .timers = timers,
                     .publisher = "127.0.0.1:" + std::to_string(store->port()),
                     .change_bound = milliseconds(90)});
  watch.Start(listener);
  CHECK(RunUntil(loop, [&] { return listener.lost > 0 || pages > 300; }));
  CHECK(listener.lost == 1);
  CHECK(listener.lists == 0);
}

TEST_CASE("a reply with very many values is refused while it is parsed") {
  std::string text = R"({"storeRevision":1,"items":[1)";
  for (int i = 0; i < 1'000'000; ++i) {
    text += ",1";
  }
  std::string error;
  CHECK_FALSE(DecodeStoreReply(text + "]}", error));
  CHECK(error == "too many values");
}

}  // namespace
}  // namespace jacinthspool::platform
