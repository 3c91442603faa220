#include "src/agent/agent_daemon.h"

#include <cstdio>
#include <utility>

#include "src/agent/agent_process.h"
#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

constexpr int kSuccess = 0;
constexpr int kStartFailed = 3;

}  // namespace

int RunAgent(std::shared_ptr<const process_settings> process, const std::string& process_file) {
  if (process->backend == nullptr) {
    std::fprintf(stderr, "%s: an agent needs `backend`\n", process_file.c_str());
    return kStartFailed;
  }
  OpenLog({.process = process->name, .file = process->log_file});
  agent_process agent(std::move(process), process_file);
  std::string error;
  if (!agent.Start(error)) {
    std::fprintf(stderr, "%s: %s\n", process_file.c_str(), error.c_str());
    return kStartFailed;
  }
  agent.Run();
  return kSuccess;
}

}  // namespace jacinthspool
