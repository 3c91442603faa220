#include "src/transport/held_signals.h"

#include <initializer_list>

namespace jacinthspool {
namespace {

sigset_t HeldSignals() {
  sigset_t held{};
  sigemptyset(&held);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&held, number);
  }
  return held;
}

}  // namespace

void HoldSignals() {
  const sigset_t held = HeldSignals();
  pthread_sigmask(SIG_BLOCK, &held, nullptr);
  (void)std::signal(SIGPIPE, SIG_IGN);
}

signal_release::signal_release() {
  const sigset_t held = HeldSignals();
  pthread_sigmask(SIG_UNBLOCK, &held, &before_);
}

signal_release::~signal_release() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }

}  // namespace jacinthspool
