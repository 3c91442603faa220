#ifndef JACINTHSPOOL_TESTS_PROCESS_TEST_ENVIRONMENT_H_
#define JACINTHSPOOL_TESTS_PROCESS_TEST_ENVIRONMENT_H_

#include <filesystem>
#include <functional>
#include <string>

#include "src/transport/event_loop.h"
#include "src/transport/timer_service.h"

namespace jacinthspool::testing {

/// \brief Event loop, timers and temporary folder of a test. Calls and relays make progress only
/// while `WaitUntil` or `Elapse` runs.
class test_environment {
 public:
  static constexpr seconds kDefaultTimeout{30};

  test_environment();
  ~test_environment();
  test_environment(const test_environment&) = delete;
  test_environment& operator=(const test_environment&) = delete;

  /// \brief Runs the loop until the condition holds.
  /// \returns false when `timeout` expired first.
  bool WaitUntil(const std::function<bool()>& condition, microseconds timeout = kDefaultTimeout);

  /// \brief Runs the loop for `length`. For the duration of a fault only; results are awaited with
  /// `WaitUntil`.
  void Elapse(microseconds length);

  /// \returns 127.0.0.1 with a port that is free at present and not used for outgoing connections.
  std::string FreeAddress();

  /// \brief Writes a file into the folder of the test. \returns The path of the file.
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

/// \returns The content of the file; empty if it cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_PROCESS_TEST_ENVIRONMENT_H_
