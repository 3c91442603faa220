#ifndef JACINTHSPOOL_TRANSPORT_HELD_SIGNALS_H_
#define JACINTHSPOOL_TRANSPORT_HELD_SIGNALS_H_

#include <csignal>

namespace jacinthspool {

/// \brief Holds back the signals on which daemons act, and ignores SIGPIPE.
///
/// A held signal stays pending until `event_loop::Run`, so that one which arrives before the loop
/// has its handlers does not end the process.
void HoldSignals();

/// \brief Lets the held signals through while it exists.
class signal_release {
 public:
  signal_release();
  ~signal_release();
  signal_release(const signal_release&) = delete;
  signal_release& operator=(const signal_release&) = delete;

 private:
  sigset_t before_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HELD_SIGNALS_H_
