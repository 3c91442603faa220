#ifndef JACINTHSPOOL_TESTS_PROCESS_CHILD_PROCESS_H_
#define JACINTHSPOOL_TESTS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace jacinthspool::testing {

/// \brief A child process of the test; the destructor kills and reaps it.
class child_process {
 public:
  /// \param log_file File to which standard output and standard error are appended.
  child_process(const std::string& binary, std::vector<std::string> arguments,
                const std::string& log_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int number) const;

  /// \brief Sends SIGKILL and waits until the process has ended.
  void Kill();

  [[nodiscard]] pid_t pid() const { return pid_; }

  /// \returns The exit code, or 128 plus the signal that ended the process; empty while it runs.
  std::optional<int> ExitCode();

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_PROCESS_CHILD_PROCESS_H_
