#ifndef JACINTHSPOOL_TESTS_PROCESS_WORLD_H_
#define JACINTHSPOOL_TESTS_PROCESS_WORLD_H_

#include <filesystem>
#include <functional>
#include <string>

#include "src/transport/event_loop.h"
#include "src/transport/timer_service.h"

namespace jacinthspool::testing {

/// \brief The test's own loop and folder. Calls and relays make progress only while it waits.
class world {
 public:
  static constexpr seconds kLongBound{30};

  world();
  ~world();
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  /// \brief Runs the loop until the condition holds.
  /// \returns false when it did not within the bound.
  bool WaitUntil(const std::function<bool()>& condition, microseconds bound = kLongBound);

  /// \brief Runs the loop for a while: only to let a fault last, never to decide a verdict.
  void Elapse(microseconds length);

  /// \returns 127.0.0.1 with a port that is free now and not used for outgoing connections.
  std::string FreeAddress();

  /// \brief Writes a file into the test's folder. \returns Its path.
  std::string WriteFile(const std::string& name, const std::string& text) const;
  [[nodiscard]] std::string PathOf(const std::string& name) const {
    return (folder_ / name).string();
  }

  [[nodiscard]] event_loop& loop() { return loop_; }
  [[nodiscard]] timer_service& timers() { return timers_; }

 private:
  std::filesystem::path folder_;
  event_loop loop_;
  timer_service timers_{loop_};
};

/// \returns The whole file, or an empty text.
std::string ReadFile(const std::string& path);

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_PROCESS_WORLD_H_
