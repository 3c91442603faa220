// A signal during the start of a daemon is acted on once the daemon runs.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/process/cluster.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

constexpr int kStarts = 16;
constexpr microseconds kStep = microseconds(300);
constexpr milliseconds kRepeatPeriod = milliseconds(5);

/// A daemon that reads its settings from a pipe and thus waits for the test in its start.
class held_start {
 public:
  held_start(test_environment& environment, const std::string& command, int number, json settings)
      : environment_(environment),
        name_(command + "-" + std::to_string(number)),
        settings_(std::move(settings)),
        path_(environment.PathOf(name_ + ".json")) {
    REQUIRE(mkfifo(path_.c_str(), S_IRUSR | S_IWUSR) == 0);
    process_ = std::make_unique<child_process>(JACINTHSPOOL_BINARY,
                                               std::vector<std::string>{command, "--config", path_},
                                               environment.PathOf(name_ + ".log"));
    // The pipe can be opened for writing without waiting once it is open for reading.
    REQUIRE(environment.WaitUntil([this] {
      pipe_ = open(path_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return pipe_ >= 0;
    }));
  }
  ~held_start() {
    if (pipe_ >= 0) {
      close(pipe_);
    }
  }
  held_start(const held_start&) = delete;
  held_start& operator=(const held_start&) = delete;

  void Signal(int number) const { process_->Signal(number); }
  bool ended() { return process_->ExitCode().has_value(); }

  void GoOn() {
    const std::string text = settings_.dump();
    const auto written = write(pipe_, text.data(), text.size());
    // A later reload reads the settings from a file of that name.
    const std::string file = environment_.WriteFile(name_ + ".reload.json", text);
    REQUIRE(std::rename(file.c_str(), path_.c_str()) == 0);
    close(std::exchange(pipe_, -1));
    // The signal may already have ended the process, which the exit code shows.
    CHECK((written == static_cast<ssize_t>(text.size()) || ended()));
  }

  void CheckStopped() {
    REQUIRE(environment_.WaitUntil([this] { return ended(); }));
    const int code = process_->ExitCode().value_or(-1);
    CHECK_MESSAGE(code == 0, name_);
    const std::string log = ReadFile(environment_.PathOf(name_ + ".log"));
    CHECK_MESSAGE(log.find("\"stopped\"") != std::string::npos, name_ << ": " << log);
  }

 private:
  test_environment& environment_;
  std::string name_;
  json settings_;
  std::string path_;
  int pipe_ = -1;
  std::unique_ptr<child_process> process_;
};

/// The settings of each daemon; none of the addresses that they name has a listener.
class daemon_settings {
 public:
  daemon_settings() {
    system_.LaunchAgent(system_.prefill());
    system_.prefill().agent->Kill();
    system_.StartEntry(system_.entry());
    system_.entry().process->Kill();
  }

  json For(const std::string& command) {
    if (command == "gateway") {
      return {{"name", "gateway-0"},
              {"data_centre", "dc"},
              {"listen", Free()},
              {"peers", {Free()}},
              {"gateway",
               {{"ready_listen", Free()},
                {"snapshot_listen", Free()},
                {"publisher", Free()},
                {"stop_grace_s", 10}}}};
    }
    if (command == "sidecar") {
      return {{"name", "sidecar-0"},
              {"data_centre", "dc"},
              {"peers", {Free()}},
              {"sidecar", {{"engine", Free()}, {"service", "model"}}}};
    }
    const std::string name = command == "agent" ? system_.prefill().name : system_.entry().name;
    json settings = json::parse(ReadFile(environment().PathOf(name + ".json")));
    settings["listen"] = Free();
    if (command == "agent") {
      settings["peer_listen"] = Free();
    }
    return settings;
  }

  test_environment& environment() { return system_.environment(); }

 private:
  std::string Free() { return environment().FreeAddress(); }

  cluster system_{{.decodes = 0, .services = 0}};
};

TEST_CASE("a signal in the first moments of a daemon does not end it before it can stop") {
  daemon_settings settings;
  test_environment& environment = settings.environment();
  std::string command;
  SUBCASE("of a gateway") { command = "gateway"; }
  SUBCASE("of a sidecar") { command = "sidecar"; }
  SUBCASE("of an agent") { command = "agent"; }
  SUBCASE("of an entry") { command = "entry"; }
  std::vector<std::unique_ptr<held_start>> daemons;
  const auto start = [&]() -> held_start& {
    const int number = static_cast<int>(daemons.size());
    return *daemons.emplace_back(
        std::make_unique<held_start>(environment, command, number, settings.For(command)));
  };

  held_start& early = start();
  early.Signal(SIGTERM);
  early.GoOn();

  held_start& interrupted = start();
  for (const int number : {SIGHUP, SIGPIPE}) {
    interrupted.Signal(number);
  }
  interrupted.GoOn();
  interrupted.Signal(SIGTERM);

  held_start& repeated = start();
  repeated.Signal(SIGTERM);
  repeated.GoOn();

  for (int i = 0; i < kStarts; ++i) {
    held_start& each = start();
    each.GoOn();
    environment.Elapse(i * kStep);
    each.Signal(SIGTERM);
  }
  while (!repeated.ended()) {
    repeated.Signal(SIGTERM);
    environment.Elapse(kRepeatPeriod);
  }
  for (const auto& each : daemons) {
    each->CheckStopped();
  }
}

}  // namespace
}  // namespace jacinthspool::testing
