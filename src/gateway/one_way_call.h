#ifndef JACINTHSPOOL_GATEWAY_ONE_WAY_CALL_H_
#define JACINTHSPOOL_GATEWAY_ONE_WAY_CALL_H_

#include <string>

#include "src/transport/event_loop.h"
#include "src/transport/http1_client.h"

namespace jacinthspool {

/// \brief Sends a request whose outcome changes nothing here.
///
/// For what a backend server would also do by itself a little later, such as
/// freeing what was kept for a request.
void SendOneWay(event_loop& loop, http1_client& client, const std::string& address,
                const std::string& bytes);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_ONE_WAY_CALL_H_
