#include "src/gateway/request_fields.h"

namespace jacinthspool {

void AddRequest(nlohmann::json& fields, const forward_request& request) {
  const model_work work = request.model.value_or(model_work());
  fields["request"] = request.id;
  fields["stream"] = request.stream_id;
  fields["resumed_after"] = request.resume_after.value_or(0);
  fields["caller_waits_ms"] = request.time_left.value_or(milliseconds(0)).count();
  fields["prompt_tokens"] = work.prompt_tokens;
  fields["max_output"] = work.max_output_tokens;
  fields["expected_output"] = work.expected_output_tokens;
}

}  // namespace jacinthspool
