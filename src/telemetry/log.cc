#include "src/telemetry/log.h"

#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.h>

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
};

log_settings& Settings() {
  static log_settings settings;
  return settings;
}

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
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, to_file ? "false" : "true");
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
  el::Loggers::reconfigureAllLoggers(configuration);
  Settings() = {.process = options.process, .lowest = options.lowest, .open = true};
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
  // Bytes that are not UTF-8 are replaced.
  LOG(INFO) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace jacinthspool
