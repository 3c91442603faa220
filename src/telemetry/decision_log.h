#ifndef JACINTHSPOOL_TELEMETRY_DECISION_LOG_H_
#define JACINTHSPOOL_TELEMETRY_DECISION_LOG_H_

#include "jacinthspool/impl/decision.h"

namespace jacinthspool {

/// \brief Writes the one log line of a routing or placement decision.
void LogDecision(const decision& made);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TELEMETRY_DECISION_LOG_H_
