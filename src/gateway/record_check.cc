#include "src/gateway/record_check.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

#include "src/transport/socket_address.h"

namespace jacinthspool {
namespace {

/// Keys of the store are no longer.
constexpr std::size_t kMaxIdBytes = 200;
/// Names are logged with every change of a record.
constexpr std::size_t kMaxNameBytes = 512;

/// The id is sent in a header.
bool IsValidId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](char each) { return each > ' ' && each < '\x7F'; });
}

/// \returns true for IPV4:PORT and [IPV6]:PORT; the address is also sent in the Host header.
bool IsServerAddress(const std::string& text) {
  if (text.find_first_not_of("0123456789abcdefABCDEF.:[]") != std::string::npos) {
    return false;
  }
  socket_address parsed;
  if (!ParseSocketAddress(text, parsed) || parsed.port() == 0) {
    return false;
  }
  const std::size_t last_colon = text.rfind(':');
  return text.front() == '[' ? text[last_colon - 1] == ']' : text.find(':') == last_colon;
}

bool IsConfigurableTime(microseconds time) {
  return time >= microseconds(0) && time <= kLongestConfiguredTime;
}

bool HasValidTimes(const forward_route& route) {
  return IsConfigurableTime(route.timeout) && IsConfigurableTime(route.latency_objective) &&
         IsConfigurableTime(route.silence_limit);
}

bool HasValidTimes(const forward_service& service) {
  return !service.engine || (IsConfigurableTime(service.engine->kv_handle_life) &&
                             IsConfigurableTime(service.engine->longest_hold));
}

bool IsKnown(request_kind kind) {
  return kind == request_kind::kIdempotent || kind == request_kind::kNonIdempotent ||
         kind == request_kind::kStreaming;
}

bool IsKnown(engine_stage stage) {
  return stage == engine_stage::kNone || stage == engine_stage::kPrefill ||
         stage == engine_stage::kDecode;
}

}  // namespace

bool IsUsable(const tenant& value) {
  const auto in_range = [](double number) { return number >= 0 && std::isfinite(number); };
  return IsValidId(value.name) && in_range(value.limit.per_second) && in_range(value.limit.burst) &&
         (value.limit.unit == limit_unit::kRequests || value.limit.unit == limit_unit::kTokens);
}

std::string_view FaultOf(const backend_record& record) {
  if (!IsValidId(record.id)) {
    return "the id is empty, too long or not printable";
  }
  if (!IsServerAddress(record.address)) {
    return "address is not IP:PORT";
  }
  if (record.service.size() > kMaxNameBytes || record.data_centre.size() > kMaxNameBytes ||
      record.software.size() > kMaxNameBytes) {
    return "a name is too long";
  }
  return IsKnown(record.stage) ? "" : "unknown stage";
}

std::string_view FaultOf(const forward_configuration& configuration) {
  for (const forward_route& route : configuration.routes) {
    if (!IsKnown(route.kind)) {
      return "unknown kind of a route";
    }
    if (!HasValidTimes(route)) {
      return "a time of a route is out of range";
    }
  }
  for (const auto& [name, service] : configuration.services) {
    if (!HasValidTimes(service)) {
      return "a time of a service is out of range";
    }
  }
  if (configuration.tenants && !std::all_of(configuration.tenants->tenants.begin(),
                                            configuration.tenants->tenants.end(), IsUsable)) {
    return "a tenant's name, unit or limit is not valid";
  }
  const edge_limits& limits = configuration.limits;
  constexpr std::size_t kMaxBytes = std::numeric_limits<std::uint32_t>::max();
  if (limits.max_head_bytes > kMaxBytes || limits.max_body_bytes > kMaxBytes ||
      !IsConfigurableTime(limits.head_timeout) || !IsConfigurableTime(limits.idle_timeout)) {
    return "a limit is out of range";
  }
  return "";
}

}  // namespace jacinthspool
