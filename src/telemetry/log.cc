#include "src/telemetry/log.h"

#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace jacinthspool {
namespace {

struct log_settings {
  std::string process;
  log_level lowest = log_level::kInfo;
  bool open = false;
  bool to_file = false;
};

log_settings& Settings() {
  static log_settings settings;
  return settings;
}

/// Writes lines to standard output without blocking on a slow reader.
///
/// Unwritten output is buffered up to a limit; further lines are dropped and
/// counted.
class output_writer {
 public:
  void Write(const std::string& line) {
    if (buffer_.size() + line.size() > kMaxBufferedBytes) {
      ++dropped_;
      Flush();
      return;
    }
    buffer_ += line;
    buffer_ += '\n';
    Flush();
  }

  /// \returns Lines dropped since the last call that reported any; 0 while the buffer is half full
  /// or more.
  std::size_t TakeDropped() {
    return buffer_.size() < kMaxBufferedBytes / 2 ? std::exchange(dropped_, 0) : 0;
  }

 private:
  static constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
  /// A pipe that is writable accepts at least this much without blocking (PIPE_BUF).
  static constexpr std::size_t kMaxWriteBytes = 4096;

  void Flush() {
    std::size_t done = 0;
    while (done < buffer_.size() && IsWritable()) {
      const std::size_t size = std::min(kMaxWriteBytes, buffer_.size() - done);
      const ssize_t written = write(STDOUT_FILENO, buffer_.data() + done, size);
      if (written < 0 && errno != EINTR && errno != EAGAIN) {
        // Standard output has failed, and there is no other output to report it to.
        done = buffer_.size();
      } else if (written > 0) {
        done += static_cast<std::size_t>(written);
      }
    }
    buffer_.erase(0, done);
  }

  static bool IsWritable() {
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&output, 1, 0) == 1;
  }

  std::string buffer_;
  std::size_t dropped_ = 0;
};

output_writer& Output() {
  static output_writer writer;
  return writer;
}

/// Receives the lines that easylogging++ would print.
class output_dispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    if (!Settings().to_file) {
      Output().Write(data->logMessage()->message());
    }
  }
};

std::string_view NameOf(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "error";
}

/// The wall clock in UTC, with microseconds.
std::string TimeText() {
  using std::chrono::system_clock;
  const auto now = system_clock::now();
  const std::time_t whole = system_clock::to_time_t(now);
  const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(
                        now - system_clock::from_time_t(whole)) %
                    std::chrono::seconds(1);
  std::tm parts{};
  gmtime_r(&whole, &parts);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
  char text[48];
  std::snprintf(text, sizeof(text), "%s.%06ldZ", date, static_cast<long>(rest.count()));
  return text;
}

}  // namespace

void OpenLog(const log_options& options) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  const bool to_file = !options.file.empty();
  if (to_file) {
    configuration.setGlobally(el::ConfigurationType::Filename, options.file);
  }
  configuration.setGlobally(el::ConfigurationType::ToFile, to_file ? "true" : "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<output_dispatch>("output");
  Settings() = {
      .process = options.process, .lowest = options.lowest, .open = true, .to_file = to_file};
}

void Log(log_level level, std::string_view event, nlohmann::json fields) {
  if (!Settings().open) {
    OpenLog({});
  }
  if (level < Settings().lowest) {
    return;
  }
  nlohmann::json line = std::move(fields);
  if (!line.is_object()) {
    line = nlohmann::json{{"detail", std::move(line)}};
  }
  line["time"] = TimeText();
  line["level"] = NameOf(level);
  line["process"] = Settings().process;
  line["event"] = event;
  if (const std::size_t dropped = Output().TakeDropped(); dropped > 0) {
    line["lines_dropped"] = dropped;
  }
  // Bytes that are not UTF-8 are replaced.
  LOG(INFO) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace jacinthspool
