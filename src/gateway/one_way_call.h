#ifndef JACINTHSPOOL_GATEWAY_ONE_WAY_CALL_H_
#define JACINTHSPOOL_GATEWAY_ONE_WAY_CALL_H_

#include <functional>
#include <string>

#include "src/transport/event_loop.h"
#include "src/transport/http1_client.h"

namespace jacinthspool {

struct one_way_options {
  event_loop& loop;
  http1_client& client;
  std::string address;  ///< ip:port
  std::string bytes;
  std::function<void(const http1_head&)> on_head = {};  ///< May be empty.
  std::function<void()> on_ended = {};  ///< Once the call has ended in any way; may be empty.
};

/// \brief Sends a request whose outcome changes nothing here.
///
/// For what a backend server would also do by itself a little later, such as
/// freeing what was kept for a request.
void SendOneWay(one_way_options settings);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_ONE_WAY_CALL_H_
