#include "src/settings/finding_log.h"

#include "src/telemetry/log.h"

namespace jacinthspool {

void LogFindings(const findings& found) {
  for (const finding& each : found) {
    Log(log_level::kWarning, "finding", {{"place", each.place}, {"text", each.text}});
  }
}

}  // namespace jacinthspool
