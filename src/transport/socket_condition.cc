#include "src/transport/socket_condition.h"

#include <poll.h>

namespace jacinthspool {

socket_condition Examine(int socket) {
  pollfd look{.fd = socket, .events = POLLIN | POLLRDHUP, .revents = 0};
  if (poll(&look, 1, 0) <= 0) {
    return socket_condition::kQuiet;
  }
  if ((look.revents & (POLLERR | POLLHUP | POLLRDHUP | POLLNVAL)) != 0) {
    return socket_condition::kGone;
  }
  return socket_condition::kReadable;
}

}  // namespace jacinthspool
