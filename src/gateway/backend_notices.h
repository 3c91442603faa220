#ifndef JACINTHSPOOL_GATEWAY_BACKEND_NOTICES_H_
#define JACINTHSPOOL_GATEWAY_BACKEND_NOTICES_H_

#include <string_view>

#include "src/gateway/gateway_context.h"

namespace jacinthspool {

/// \brief Applies what the head of a reply says of the server that gave it.
///
/// Called for every reply of a backend server, whatever was asked of it.
/// \param request Id of the caller's request that it belongs to, for the log; may be empty.
void TakeNotice(gateway_context& context, const backend_record& from, const http1_head& head,
                std::string_view request);

/// \brief Takes a server that is known to be leaving out of the choice.
/// \returns true when that is news.
bool LearnLeaving(gateway_context& context, const backend_record& leaving);

/// \returns true when the server may be sent requests: it is listed in this incarnation, neither
/// leaves nor has asked for quiet.
[[nodiscard]] bool TakesWork(const gateway_context& context, const backend_record& backend,
                             instant now);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_BACKEND_NOTICES_H_
