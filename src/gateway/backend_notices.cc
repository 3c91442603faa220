#include "src/gateway/backend_notices.h"

#include "jacinthspool/impl/overloaded.h"
#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

/// Longer texts from the wire are truncated in the log.
constexpr std::size_t kMaxLoggedText = 64;

std::string_view EventOf(named_limits::change change) {
  switch (change) {
    case named_limits::change::kNone:
      break;
    case named_limits::change::kNamed:
      return "backend_limit_named";
    case named_limits::change::kChanged:
      return "backend_limit_changed";
    case named_limits::change::kLifted:
      return "backend_limit_lifted";
  }
  return "";
}

/// \param request The request whose reply states the limit; empty: another gateway says so.
void ReportLimit(gateway_context& context, const std::string& backend, std::uint64_t started_ms,
                 named_limits::change change, std::string_view request, std::string_view source) {
  if (change == named_limits::change::kNone) {
    return;
  }
  UpdateShares(context);
  const double limit = context.limiter.limits().Find(backend, started_ms).value_or(0);
  Log(log_level::kInfo, EventOf(change),
      {{"request", request},
       {"backend", backend},
       {"started_ms", started_ms},
       {"limit_per_s", limit},
       {"source", source}});
  context.metrics.Set("gateway_backend_limit_per_second", {{"backend", backend}}, limit);
}

void ApplyRate(gateway_context& context, const backend_record& from, const rate_statement& rate,
               std::string_view request, instant sent) {
  if (const auto* unreadable = std::get_if<rate_unreadable>(&rate)) {
    Log(log_level::kWarning, "backend_limit_unreadable",
        {{"request", request},
         {"backend", from.id},
         {"expected", "a number of requests a second from 0 to 1000000"},
         {"got", unreadable->text.substr(0, kMaxLoggedText)}});
    return;
  }
  const auto change =
      context.limiter.limits().OnReply(from.id, from.started_ms, rate, sent, timer_service::now());
  ReportLimit(context, from.id, from.started_ms, change, request, "reply");
}

}  // namespace

void ApplyNotice(gateway_context& context, const backend_record& from, const http1_head& head,
                 std::string_view request, instant sent) {
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
  if (!notice.wrong_target && sent != instant{}) {
    context.quarantine.OnHeard({from.id, from.started_ms}, now);
  }
  if (notice.wrong_target) {
    log_notice("record_mistaken", milliseconds(0));
    context.selector.MarkRecordWrong(from.id, now);
  }
  ApplyRate(context, from, notice.rate, request, sent);
}

void ApplyPeerLimits(gateway_context& context, const std::vector<named_limit>& limits) {
  for (const named_limit& each : limits) {
    ReportLimit(context, each.backend, each.started_ms, context.limiter.limits().OnPeer(each), "",
                "peer");
  }
}

void UpdateShares(gateway_context& context) {
  const instant now = timer_service::now();
  context.limiter.fleet().OnReport({.name = context.limiter.gateway(),
                                    .request_rates = context.traffic.Rates(now),
                                    .made = now});
  context.limiter.Update(context.backends.backends(), now);
}

void ReportShares(gateway_context& context) {
  for (const send_limiter::usage& each : context.limiter.Usage(timer_service::now())) {
    Log(log_level::kInfo, "backend_limit_share",
        {{"backend", each.backend},
         {"limit_per_s", each.limit_per_second},
         {"share_per_s", each.share.per_second},
         {"burst", each.share.burst},
         {"senders", each.share.senders},
         {"gateways", context.limiter.fleet().gateways()},
         {"gateways_known", context.limiter.fleet().reports().size()},
         {"sent_in_4_s", each.sent_in_window}});
    context.metrics.Set("gateway_backend_limit_share_per_second", {{"backend", each.backend}},
                        each.share.per_second);
  }
}

void RecordSend(gateway_context& context, const backend_record& backend, std::uint32_t calls) {
  if (context.limiter.limited(backend)) {
    context.limiter.OnSend(backend, calls, timer_service::now());
    context.metrics.Count("gateway_limited_sends", {{"backend", backend.id}});
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
