#include "src/entry/entry_daemon.h"

#include <cstdio>
#include <utility>

#include "src/entry/entry_process.h"
#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

constexpr int kSuccess = 0;
constexpr int kStartFailed = 1;

}  // namespace

int RunEntry(std::shared_ptr<const process_settings> process, const std::string& process_file) {
  if (process->listen.empty()) {
    std::fprintf(stderr, "%s: an entry needs `listen`\n", process_file.c_str());
    return kStartFailed;
  }
  OpenLog({.process = process->name, .file = process->log_file});
  entry_process entry(std::move(process), process_file);
  std::string error;
  if (!entry.Start(error)) {
    std::fprintf(stderr, "%s: %s\n", process_file.c_str(), error.c_str());
    return kStartFailed;
  }
  entry.Run();
  return kSuccess;
}

}  // namespace jacinthspool
