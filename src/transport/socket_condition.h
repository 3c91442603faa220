#ifndef JACINTHSPOOL_TRANSPORT_SOCKET_CONDITION_H_
#define JACINTHSPOOL_TRANSPORT_SOCKET_CONDITION_H_

namespace jacinthspool {

/// \brief What the far end of a connected socket has done since the last read.
enum class socket_condition {
  kQuiet,     ///< nothing
  kReadable,  ///< sent bytes
  kGone,      ///< closed, or closed its sending half
};

/// \brief Looks at a socket without waiting and without reading.
socket_condition Examine(int socket);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_SOCKET_CONDITION_H_
