#include "src/entry/service_call.h"

#include <strings.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace jacinthspool {
namespace {

namespace leaf = boost::leaf;

constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr std::size_t kMaxKeyBytes = 255;

/// Headers that belong to one connection or that the entry sets itself; they are not forwarded.
constexpr const char* kReservedHeaders[] = {"Connection",
                                            "Keep-Alive",
                                            "Proxy-Authenticate",
                                            "Proxy-Authorization",
                                            "Proxy-Connection",
                                            "TE",
                                            "Trailer",
                                            "Transfer-Encoding",
                                            "Upgrade",
                                            "Content-Length",
                                            "Host",
                                            "Expect",
                                            "Authorization",
                                            "X-Request-Id",
                                            "X-Fencing-Token",
                                            "Idempotency-Key"};

bool IsReserved(const std::string& name) {
  return std::any_of(std::begin(kReservedHeaders), std::end(kReservedHeaders),
                     [&](const char* own) { return strcasecmp(own, name.c_str()) == 0; });
}

/// A prefix matches whole path segments only: "/hall" does not match "/hallway".
bool IsPrefix(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

call_request CallOf(const http_exchange& exchange) {
  call_request call;
  call.method = exchange.method();
  call.target = exchange.target();
  for (const auto& [name, value] : exchange.headers()) {
    if (!IsReserved(name)) {
      auto field = std::make_shared<header_field>();
      field->name = name;
      field->value = value;
      call.headers.push_back(std::move(field));
    }
  }
  const std::string& body = exchange.body();
  call.body.assign(body.begin(), body.end());
  return call;
}

}  // namespace

const route_settings* FindRoute(const settings_snapshot& settings, const std::string& team,
                                std::string_view path) {
  const auto found = settings.teams.find(team);
  if (found == settings.teams.end()) {
    return nullptr;
  }
  const route_settings* longest = nullptr;
  for (const auto& route : found->second->routes) {
    const bool better =
        longest == nullptr || route->path_prefix.size() > longest->path_prefix.size();
    if (better && IsPrefix(route->path_prefix, path)) {
      longest = route.get();
    }
  }
  return longest;
}

leaf::result<caller_request> ParseCall(const http_exchange& exchange, const call_context& context) {
  const route_settings* route = FindRoute(context.settings, context.team, exchange.path());
  if (route == nullptr) {
    return leaf::new_error(api_error{.status = kNotFound,
                                     .message = "unknown path " + exchange.path(),
                                     .code = "unknown_path",
                                     .retry_after = std::nullopt});
  }
  const settings_snapshot& settings = context.settings;
  if (settings.FindPool(route->pool) == nullptr ||
      !settings.TeamMayUse(context.team, route->pool)) {
    return leaf::new_error(
        api_error{.status = kForbidden,
                  .message = "team '" + context.team + "' may not use pool '" + route->pool + "'",
                  .type = "permission_error",
                  .code = "pool_not_allowed",
                  .retry_after = std::nullopt});
  }
  std::string key = exchange.header("Idempotency-Key");
  if (key.size() > kMaxKeyBytes) {
    return leaf::new_error(api_error{
        .message = "Idempotency-Key: longer than " + std::to_string(kMaxKeyBytes) + " bytes",
        .code = "invalid_value",
        .retry_after = std::nullopt});
  }
  caller_request request;
  request.id = context.id;
  request.team = context.team;
  request.workspace = context.workspace;
  request.pool = route->pool;
  request.call = CallOf(exchange);
  request.repeatable = route->repeatable;
  request.idempotency_key = std::move(key);
  request.deadline_in = milliseconds(route->deadline_ms);
  return request;
}

http_headers AnswerHeaders(const std::vector<header_field>& fields) {
  http_headers headers;
  for (const header_field& field : fields) {
    if (!IsReserved(field.name)) {
      headers.emplace_back(field.name, field.value);
    }
  }
  return headers;
}

}  // namespace jacinthspool
