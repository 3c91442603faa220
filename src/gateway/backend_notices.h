#ifndef JACINTHSPOOL_GATEWAY_BACKEND_NOTICES_H_
#define JACINTHSPOOL_GATEWAY_BACKEND_NOTICES_H_

#include <string_view>
#include <vector>

#include "src/gateway/gateway_context.h"

namespace jacinthspool {

/// \brief Applies what the head of a reply states about the server that sent it.
///
/// Called for every reply of a backend server, to any kind of request.
/// \param request Id of the caller's request that the reply belongs to, for the log; may be empty.
/// \param sent When that request was sent; the epoch for a reply to an unknown request.
void ApplyNotice(gateway_context& context, const backend_record& from, const http1_head& head,
                 std::string_view request, instant sent);

/// \brief Applies the limits that another gateway has heard of.
void ApplyPeerLimits(gateway_context& context, const std::vector<named_limit>& limits);

/// \brief Counts a request that is sent to a backend server, whatever its purpose.
///
/// Called once for each request, just before it is sent.
void RecordSend(gateway_context& context, const backend_record& backend);

/// \brief Marks a server as leaving, so that it is no longer chosen.
/// \returns true when it was not yet marked.
bool MarkBackendLeaving(gateway_context& context, const backend_record& leaving);

/// \returns true when the server may be sent requests: it is listed in this incarnation, is not
/// leaving and is not backing off.
[[nodiscard]] bool AcceptsWork(const gateway_context& context, const backend_record& backend,
                               instant now);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_BACKEND_NOTICES_H_
