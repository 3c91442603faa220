#include "tests/process/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace jacinthspool::testing {
namespace {

constexpr int kSignalBase = 128;
constexpr mode_t kLogMode = 0600;

}  // namespace

child_process::child_process(const std::string& binary, std::vector<std::string> arguments,
                             const std::string& log_file) {
  arguments.insert(arguments.begin(), binary);
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& each : arguments) {
    pointers.push_back(each.data());
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A child that inherits a connection of the test would keep it open for its peer after the test
  // has closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  if (posix_spawn(&pid_, binary.c_str(), &actions, nullptr, pointers.data(), environ) != 0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process() { Kill(); }

void child_process::Signal(int number) const {
  if (pid_ > 0 && !exit_code_) {
    kill(pid_, number);
  }
}

void child_process::Kill() {
  if (pid_ <= 0 || ExitCode()) {
    return;
  }
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  exit_code_ = kSignalBase + SIGKILL;
}

std::optional<int> child_process::ExitCode() {
  int status = 0;
  if (!exit_code_ && pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  }
  return exit_code_;
}

}  // namespace jacinthspool::testing
