#ifndef JACINTHSPOOL_SETTINGS_FINDING_LOG_H_
#define JACINTHSPOOL_SETTINGS_FINDING_LOG_H_

#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Writes one log line for each finding.
void LogFindings(const findings& found);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_FINDING_LOG_H_
