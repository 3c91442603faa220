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
/// \param calls Requests to count against the server's limit: 2 when the request gets a
/// reservation, and 0 when it uses one.
void RecordSend(gateway_context& context, const backend_record& backend, std::uint32_t calls = 1);

/// \brief Computes this gateway's shares of all limits anew.
void UpdateShares(gateway_context& context);
/// \brief Logs the shares of the limits in force and what was sent in the last window.
void ReportShares(gateway_context& context);

/// \brief Marks a server as leaving, so that it is no longer chosen.
/// \returns true when it was not yet marked.
bool MarkBackendLeaving(gateway_context& context, const backend_record& leaving);

/// \returns true when the server may be sent requests: it is listed in this incarnation, is not
/// leaving and is not backing off.
[[nodiscard]] bool AcceptsWork(const gateway_context& context, const backend_record& backend,
                               instant now);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_BACKEND_NOTICES_H_
