#ifndef JACINTHSPOOL_TRANSPORT_DISCONNECT_WATCH_H_
#define JACINTHSPOOL_TRANSPORT_DISCONNECT_WATCH_H_

#include <functional>
#include <memory>

#include "src/transport/event_loop.h"

namespace jacinthspool {

/// \brief Detects that the remote end of a socket has disconnected while nothing reads from it.
///
/// `evhttp` does not read from a connection whose request is being answered. A
/// remote end that has closed its sending half counts as disconnected.
class disconnect_watch {
 public:
  /// \param on_closed Called once, on disconnection; it may destroy this watch.
  disconnect_watch(event_loop& loop, int socket, std::function<void()> on_closed);
  ~disconnect_watch();
  disconnect_watch(const disconnect_watch&) = delete;
  disconnect_watch& operator=(const disconnect_watch&) = delete;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_DISCONNECT_WATCH_H_
