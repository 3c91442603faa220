#include "src/transport/socket_condition.h"

#include <poll.h>

namespace jacinthspool {

socket_condition PollCondition(int socket) {
  pollfd polled{.fd = socket, .events = POLLIN | POLLRDHUP, .revents = 0};
  if (poll(&polled, 1, 0) <= 0) {
    return socket_condition::kIdle;
  }
  if ((polled.revents & (POLLERR | POLLHUP | POLLRDHUP | POLLNVAL)) != 0) {
    return socket_condition::kClosed;
  }
  return socket_condition::kReadable;
}

}  // namespace jacinthspool
