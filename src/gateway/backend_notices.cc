#include "src/gateway/backend_notices.h"

#include "src/telemetry/log.h"

namespace jacinthspool {

void ApplyNotice(gateway_context& context, const backend_record& from, const http1_head& head,
                 std::string_view request) {
  const backend_notice notice = context.dialect.DecodeNotice(head);
  const instant now = timer_service::now();
  const auto log_notice = [&](std::string_view event, milliseconds back_off) {
    Log(log_level::kInfo, event,
        {{"request", request},
         {"backend", from.id},
         {"quiet_ms", back_off.count()},
         {"list_revision", context.backends.revision()}});
  };
  if (notice.leaving && MarkBackendLeaving(context, from)) {
    log_notice("backend_says_leaving", milliseconds(0));
  }
  if (notice.back_off_for) {
    log_notice("backend_wants_quiet",
               std::chrono::duration_cast<milliseconds>(*notice.back_off_for));
    context.selector.SetBackOff(from.id, now + *notice.back_off_for);
  }
  if (notice.wrong_target) {
    log_notice("record_mistaken", milliseconds(0));
    context.selector.MarkRecordWrong(from.id, now);
  }
}

bool MarkBackendLeaving(gateway_context& context, const backend_record& leaving) {
  if (!context.backends.MarkLeaving(leaving.id, leaving.started_ms, timer_service::now())) {
    return false;
  }
  context.selector.Update(context.backends.backends().at(leaving.id));
  return true;
}

bool AcceptsWork(const gateway_context& context, const backend_record& backend, instant now) {
  const auto& listed = context.backends.backends();
  const auto record = listed.find(backend.id);
  return record != listed.end() && record->second.started_ms == backend.started_ms &&
         !record->second.leaving && !context.selector.backing_off(backend.id, now);
}

}  // namespace jacinthspool
