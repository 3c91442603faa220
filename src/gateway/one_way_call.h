#ifndef JACINTHSPOOL_GATEWAY_ONE_WAY_CALL_H_
#define JACINTHSPOOL_GATEWAY_ONE_WAY_CALL_H_

#include <functional>
#include <string>

#include "src/transport/event_loop.h"
#include "src/transport/http1_client.h"

namespace jacinthspool {

/// \brief Sends a request whose outcome changes nothing here.
///
/// For what a backend server would also do by itself a little later, such as
/// freeing what was kept for a request.
/// \param on_ended Called once the call has ended in any way; may be empty.
void SendOneWay(event_loop& loop, http1_client& client, const std::string& address,
                const std::string& bytes, std::function<void()> on_ended = {});

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_ONE_WAY_CALL_H_
