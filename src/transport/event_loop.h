#ifndef JACINTHSPOOL_TRANSPORT_EVENT_LOOP_H_
#define JACINTHSPOOL_TRANSPORT_EVENT_LOOP_H_

#include <functional>
#include <memory>

struct event_base;

namespace jacinthspool {

/// \brief Event loop of a process; runs all callbacks sequentially on one thread.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// \brief Runs until Stop is called.
  void Run();

  /// \brief Makes Run return after the current callback.
  void Stop();

  /// \brief Calls `action` once, in a later iteration of the loop.
  void Post(std::function<void()> action);

  /// \brief Calls `action` in the loop each time `signal_number` arrives.
  void OnSignal(int signal_number, std::function<void()> action);

  /// \returns The underlying libevent base, for use inside the transport layer.
  [[nodiscard]] event_base* base() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_EVENT_LOOP_H_
