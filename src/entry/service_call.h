#ifndef JACINTHSPOOL_ENTRY_SERVICE_CALL_H_
#define JACINTHSPOOL_ENTRY_SERVICE_CALL_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/entry_core.h"
#include "src/entry/api_error.h"
#include "src/settings/settings.h"
#include "src/transport/http_server.h"

namespace jacinthspool {

/// \brief Context in which a call of a plain service is checked.
struct call_context {
  const settings_snapshot& settings;
  request_id id;
  std::string team;
  std::string workspace;
};

/// \returns The team's route with the longest matching path prefix, or null.
[[nodiscard]] const route_settings* FindRoute(const settings_snapshot& settings,
                                              const std::string& team, std::string_view path);

/// \brief Converts a caller's HTTP request into a request to the core.
/// \returns The request, or an `api_error`: unknown path, pool not allowed, or idempotency key too
/// long.
[[nodiscard]] boost::leaf::result<caller_request> ParseCall(const http_exchange& exchange,
                                                            const call_context& context);

/// \returns The headers of a service's answer that are forwarded to the caller.
[[nodiscard]] http_headers AnswerHeaders(const std::vector<header_field>& fields);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_SERVICE_CALL_H_
