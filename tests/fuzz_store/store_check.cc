#include "tests/fuzz_store/store_check.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/route_table.h"
#include "platform/store_records.h"
#include "src/gateway/snapshot.h"
#include "src/transport/socket_address.h"

namespace jacinthspool::testing {
namespace {

using platform::DecodeBackend;
using platform::DecodeConfiguration;
using platform::DecodeStoreReply;
using platform::store_item;

constexpr std::size_t kMaxReasonBytes = 200;

std::string CheckReason(bool accepted, const std::string& error) {
  if (accepted != error.empty()) {
    return "accepted with a reason, or refused without one";
  }
  return error.size() > kMaxReasonBytes ? "the reason is too long" : "";
}

/// The time is added to instants.
bool CanBeAdded(microseconds time) {
  const instant start = instant{} + std::chrono::hours(24 * 365 * 10);
  return time >= microseconds(0) && start + time >= start;
}

std::string CheckRoute(const forward_route& route) {
  if (!CanBeAdded(route.timeout) || !CanBeAdded(route.latency_objective) ||
      !CanBeAdded(route.silence_limit)) {
    return "a time of a route is out of range";
  }
  (void)ServiceOf(route, 1);
  return "";
}

std::string CheckConfiguration(std::string_view value) {
  std::string error;
  const auto decoded = DecodeConfiguration(value, error);
  if (std::string fault = CheckReason(decoded != nullptr, error); !fault.empty() || !decoded) {
    return fault;
  }
  for (const forward_route& route : decoded->routes) {
    if (std::string fault = CheckRoute(route); !fault.empty()) {
      return fault;
    }
  }
  for (const auto& [name, service] : decoded->services) {
    if (service.engine && (!CanBeAdded(service.engine->kv_handle_life) ||
                           !CanBeAdded(service.engine->longest_hold))) {
      return "a time of a service is out of range";
    }
  }
  route_table table;
  table.Apply(decoded);
  (void)table.Find("h", "/a/b");
  gateway_snapshot sent;
  sent.configuration = decoded;
  const auto passed_on = DecodeSnapshot(EncodeSnapshot(sent));
  const bool same = passed_on && passed_on->configuration &&
                    passed_on->configuration->routes.size() == decoded->routes.size() &&
                    passed_on->configuration->services.size() == decoded->services.size();
  return same ? "" : "a peer does not get the configuration";
}

std::string CheckBackend(const store_item& item, backend_list& list) {
  std::string error;
  auto record = DecodeBackend(item, error);
  if (std::string fault = CheckReason(record.has_value(), error); !fault.empty() || !record) {
    return fault;
  }
  socket_address address;
  if (!ParseSocketAddress(record->address, address) || address.port() == 0) {
    return "not an address";
  }
  if (record->id.find_first_of("\r\n\t ") != std::string::npos) {
    return "not an id";
  }
  gateway_snapshot sent;
  sent.backends = {*record};
  const auto passed_on = DecodeSnapshot(EncodeSnapshot(sent));
  list.Put(*std::move(record));
  return passed_on && passed_on->backends.size() == 1 ? "" : "a peer does not get the record";
}

std::string CheckReply(std::string_view bytes) {
  std::string error;
  const auto reply = DecodeStoreReply(bytes, error);
  if (std::string fault = CheckReason(reply.has_value(), error); !fault.empty() || !reply) {
    return fault;
  }
  backend_list list({});
  for (const store_item& item : reply->items) {
    if (item.fault.size() > kMaxReasonBytes) {
      return "the reason is too long";
    }
    if (!item.fault.empty()) {
      continue;
    }
    if (item.removed) {
      if (const auto id = platform::BackendIdOf(item.key)) {
        list.Remove(*id, item.published, instant{});
      }
      continue;
    }
    for (std::string fault : {CheckBackend(item, list), CheckConfiguration(item.value)}) {
      if (!fault.empty()) {
        return fault;
      }
    }
  }
  return "";
}

}  // namespace

std::string CheckStoreBytes(std::string_view bytes) {
  backend_list list({});
  const store_item item{.key = "servers/i-1", .value = std::string(bytes), .published = 1};
  const store_item odd_key{
      .key = std::string(bytes),
      .value = R"({"service":"s","address":"10.0.0.1:80","zone":"z",)"
               R"("version":"v1","slots":1,"state":"ready","coldLeftMs":0,"seq":4})",
      .published = 1};
  for (std::string fault : {CheckReply(bytes), CheckConfiguration(bytes), CheckBackend(item, list),
                            CheckBackend(odd_key, list)}) {
    if (!fault.empty()) {
      return fault;
    }
  }
  return "";
}

}  // namespace jacinthspool::testing
