#include "jacinthspool/routing/next_step.h"

namespace jacinthspool {

std::string_view ToString(attempt_failure failure) {
  switch (failure) {
    case attempt_failure::kUnsent:
      return "unsent";
    case attempt_failure::kNotRun:
      return "not_run";
    case attempt_failure::kFailedReply:
      return "failed_reply";
    case attempt_failure::kLost:
      return "lost";
    case attempt_failure::kUnsound:
      return "unsound";
    case attempt_failure::kBrokeOff:
      return "broke_off";
  }
  return "unknown";
}

std::string_view ToString(next_step step) {
  switch (step) {
    case next_step::kSendAgain:
      return "send_again";
    case next_step::kRefuse:
      return "refuse";
    case next_step::kPassReply:
      return "pass_reply";
    case next_step::kFail:
      return "fail";
    case next_step::kCut:
      return "cut";
  }
  return "unknown";
}

next_step DecideNextStep(const forward_route& route, const attempt_record& record) {
  const bool proved_not_run = ProvedNotRun({.runs = record.runs, .under_way = false});
  const bool may_run_again =
      proved_not_run || (route.repeatable() && record.runs < route.max_attempts);
  if (record.may_retry && may_run_again) {
    return next_step::kSendAgain;
  }
  if (record.answer_begun) {
    return next_step::kCut;
  }
  if (proved_not_run) {
    return next_step::kRefuse;
  }
  return record.last == attempt_failure::kFailedReply ? next_step::kPassReply : next_step::kFail;
}

}  // namespace jacinthspool
