#include "src/telemetry/decision_log.h"

#include <utility>

#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

nlohmann::json CandidateFields(const decision_candidate& candidate) {
  nlohmann::json fields = {{"backend", candidate.backend},
                           {"cached_tokens", candidate.cached_tokens}};
  if (candidate.start_in.has_value()) {
    fields["start_in_us"] = candidate.start_in->count();
  }
  if (!candidate.refusal.empty()) {
    fields["refusal"] = candidate.refusal;
  }
  return fields;
}

}  // namespace

void LogDecision(const decision& made) {
  nlohmann::json candidates = nlohmann::json::array();
  for (const decision_candidate& candidate : made.candidates) {
    candidates.push_back(CandidateFields(candidate));
  }
  Log(log_level::kInfo, "decision",
      {{"decision", made.event},
       {"request", ToString(made.request)},
       {"attempt", made.attempt},
       {"team", made.team},
       {"choice", made.choice},
       {"reason", made.reason},
       {"candidates", std::move(candidates)}});
}

}  // namespace jacinthspool
