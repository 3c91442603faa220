#ifndef JACINTHSPOOL_TRANSPORT_SOCKET_CONDITION_H_
#define JACINTHSPOOL_TRANSPORT_SOCKET_CONDITION_H_

namespace jacinthspool {

/// \brief Condition of a connected socket as seen by a poll.
enum class socket_condition {
  kIdle,      ///< no unread bytes, no close
  kReadable,  ///< unread bytes
  kClosed,    ///< error, or the remote end has closed at least its sending half
};

/// \brief Polls a socket without blocking and without reading.
socket_condition PollCondition(int socket);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_SOCKET_CONDITION_H_
