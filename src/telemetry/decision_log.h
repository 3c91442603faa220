#ifndef JACINTHSPOOL_TELEMETRY_DECISION_LOG_H_
#define JACINTHSPOOL_TELEMETRY_DECISION_LOG_H_

#include "jacinthspool/impl/decision.h"

namespace jacinthspool {

/// \brief Writes one log line with a routing or placement decision and its candidates.
void LogDecision(const decision& made);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TELEMETRY_DECISION_LOG_H_
