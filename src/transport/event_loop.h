#ifndef JACINTHSPOOL_TRANSPORT_EVENT_LOOP_H_
#define JACINTHSPOOL_TRANSPORT_EVENT_LOOP_H_

#include <functional>
#include <memory>

struct event_base;

namespace jacinthspool {

/// \brief The one loop of a daemon: runs its tasks in turn, on one thread.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// \brief Runs until Stop is called.
  void Run();

  /// \brief Ends Run after the current callback.
  void Stop();

  /// \brief Calls `action` once, in a later turn of the loop.
  void Post(std::function<void()> action);

  /// \brief Calls `action` in the loop each time `signal_number` arrives.
  void OnSignal(int signal_number, std::function<void()> action);

  /// \returns libevent's base, for the parts of the transport.
  [[nodiscard]] event_base* base() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_EVENT_LOOP_H_
