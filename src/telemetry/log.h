#ifndef JACINTHSPOOL_TELEMETRY_LOG_H_
#define JACINTHSPOOL_TELEMETRY_LOG_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace jacinthspool {

enum class log_level { kDebug, kInfo, kWarning, kError };

struct log_options {
  std::string process;  ///< Name of this process, in every line.
  std::string file;     ///< Empty: standard output.
  log_level lowest = log_level::kInfo;
};

/// \brief Configures the log of this process; must be called before the first line is written.
///
/// Otherwise the first line opens a log to standard output without a process name.
void OpenLog(const log_options& options);

/// \brief Writes one JSON line: time, level, process, `event`, and the fields.
///
/// \code
/// Log(log_level::kInfo, "decision", {{"request", ToString(id)}, {"choice", "d1"}});
/// \endcode
void Log(log_level level, std::string_view event, nlohmann::json fields);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TELEMETRY_LOG_H_
