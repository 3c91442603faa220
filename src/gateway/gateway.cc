#include "src/gateway/gateway.h"

#include <utility>

#include "jacinthspool/impl/rendezvous.h"
#include "src/coordination/from_seconds.h"
#include "src/gateway/backend_notices.h"
#include "src/gateway/caller_check.h"
#include "src/gateway/pace_notes.h"
#include "src/telemetry/log.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

/// Period in which deferred removals of backend servers are checked.
constexpr milliseconds kExpiryPeriod = milliseconds(250);
/// Period of the log lines about the limits in force: the window in which sent requests are
/// counted.
constexpr milliseconds kShareReportPeriod = seconds(4);
/// Servers whose pace one message holds: some 2 KB.
constexpr std::size_t kPacesInSnapshot = 16;
/// Retry-After while no configuration or list is known.
constexpr milliseconds kStartRetryAfter = milliseconds(400);
/// Retry-After of a request that cannot go on with its stream: no gateway knows more at once.
constexpr milliseconds kStreamRetryAfter = milliseconds(1000);
/// A stream is at most this multiple of its route's timeout old when its caller takes it up.
constexpr int kTriesOfStream = 2;
/// Added to the age that a stream can have by the time that its caller has left.
constexpr milliseconds kAgeMargin = seconds(1);
/// Retry-After late in a planned stop: the other gateways serve at once.
constexpr milliseconds kStopRetryAfter = milliseconds(50);

}  // namespace

gateway::gateway(const options& settings)
    : context_{.loop = settings.loop,
               .timers = settings.timers,
               .client = settings.client,
               .dialect = settings.dialect,
               .routes = {},
               .backends = backend_list({}),
               .selector = backend_selector({.data_centre = settings.data_centre}),
               .budget = forward_retry_budget({.started = settings.started}),
               .outputs = output_length_estimate({}),
               .retries = retry_detector({}),
               .shedder = load_shedder({}),
               .traffic = request_rate_meter({}),
               .limiter = send_limiter({.gateway = settings.name}),
               .balance = prefill_share_estimate({}),
               .prefills = prefill_placement({}),
               .quarantine =
                   crash_quarantine({.gateway = settings.name, .started = settings.started}),
               .background = {},
               .metrics = {},
               .random = std::mt19937_64(std::random_device{}()),
               .pace = engine_pace({.reporter = settings.name})},
      reservations_(context_),
      slots_(context_),
      payments_(context_, settings.name),
      streams_(context_),
      on_limits_(settings.on_limits),
      configuration_confirmed_(settings.started) {
  context_.confirm_list = settings.confirm_list;
  // The publisher may have been unavailable before this process started.
  context_.backends.PublisherLost();
  expiry_ = settings.timers.Every(kExpiryPeriod, [this](instant now) {
    if (context_.backends.Expire(now)) {
      Log(log_level::kInfo, "backends_expired",
          {{"left", context_.backends.backends().size()},
           {"list_revision", context_.backends.revision()}});
      UpdateSelector();
    }
    UpdateShares(context_);
    UpdatePaces(context_, pace_lines_);
    context_.quarantine.Expire(now);
    ApplyVerdicts(now);
    if (context_.bytes.limit()) {
      for (const auto& exchange : exchanges_) {
        exchange->ReadOn();
      }
    }
    ReportFreshness(context_, now, keys_unconfirmed_);
  });
  share_report_ = settings.timers.Every(kShareReportPeriod,
                                        [this](instant /*now*/) { ReportShares(context_); });
}

gateway::~gateway() = default;

void gateway::ApplySettings(const gateway_settings& settings) {
  context_.budget.SetLimits(settings.repeat_ratio, FromSeconds(settings.repeat_window_s),
                            settings.repeat_extra);
  context_.bytes.SetMemoryLimit(static_cast<std::uint32_t>(settings.memory_limit_mb));
  context_.freshness.SetBound(FromMilliseconds(settings.key_bound_ms));
}

void gateway::SetGateways(std::uint32_t gateways) {
  context_.gateways = gateways;
  context_.quarantine.SetHasPeers(gateways > 1);
  context_.budget.SetEntries(gateways);
  context_.limiter.fleet().SetGateways(gateways);
  payments_.SetGateways(gateways);
  UpdateShares(context_);
}

gateway_snapshot gateway::FleetSnapshot(fleet_scope scope) const {
  gateway_snapshot news;
  const send_limiter& limiter = context_.limiter;
  for (const auto& [backend, limit] : limiter.limits().all()) {
    news.limits.push_back(limit);
  }
  for (const auto& [name, report] : limiter.fleet().reports()) {
    const bool all = scope == fleet_scope::kAll && limiter.limits().any();
    if (all || name == limiter.gateway()) {
      news.fleet.push_back(report);
    }
  }
  for (const auto& [key, report] : context_.quarantine.reports()) {
    news.crashes.push_back(report);
  }
  news.trials = context_.quarantine.Trials();
  const instant now = timer_service::now();
  news.paces = context_.pace.News(kPacesInSnapshot,
                                  static_cast<std::uint64_t>(now.time_since_epoch().count()), now);
  return news;
}

void gateway::ApplyFleet(const gateway_snapshot& other) {
  for (const gateway_report& report : other.fleet) {
    if (!report.name.empty() && report.name != context_.limiter.gateway()) {
      context_.limiter.fleet().OnReport(report);
    }
  }
  ApplyPeerLimits(context_, other.limits);
  const instant now = timer_service::now();
  context_.pace.Merge(other.paces, now);
  context_.quarantine.OnPeer(other.crashes, other.trials, now);
  ApplyVerdicts(now);
}

void gateway::OnPeerAnswer() {
  context_.limiter.fleet().OnContact(timer_service::now());
  context_.quarantine.OnContact(timer_service::now());
}

void gateway::ApplyVerdicts(instant now) {
  const auto& held = context_.quarantine.Held(now);
  std::set<crash_suspect> suspects;
  for (const auto& [suspect, cause] : held) {
    suspects.insert(suspect);
    if (!held_.contains(suspect)) {
      Log(log_level::kWarning, "crash_cause_held",
          {{"suspect", ToString(suspect)},
           {"request", suspect.is_request()},
           {"servers", cause.servers},
           {"outages", cause.outages},
           {"age_ms", (now - cause.last_crash) / milliseconds(1)},
           {"gateways", cause.gateways},
           {"alike", cause.alike.size()}});
    }
  }
  for (const crash_suspect& suspect : held_) {
    if (!suspects.contains(suspect)) {
      Log(log_level::kInfo, "crash_cause_released", {{"suspect", ToString(suspect)}});
    }
  }
  if (held_ == suspects) {
    return;
  }
  held_ = std::move(suspects);
  context_.metrics.Set("gateway_held_causes", {}, static_cast<double>(held_.size()));
  const std::set<std::shared_ptr<forward_exchange>> in_progress = exchanges_;
  for (const auto& exchange : in_progress) {
    exchange->OnVerdictsChanged();
  }
}

void gateway::OnLapsed(const backend_record& before) {
  if (!before.leaving) {
    context_.quarantine.OnServerEnd({before.id, before.started_ms}, end_sign::kDeregistered, {},
                                    timer_service::now());
  }
}

bool gateway::can_route() const {
  return context_.routes.configuration() != nullptr && list_known_;
}

void gateway::BeginStop(const planned_stop& stop) {
  context_.stop = stop;
  const std::set<std::shared_ptr<forward_exchange>> in_progress = exchanges_;
  for (const auto& exchange : in_progress) {
    exchange->OnStopping();
  }
}

void gateway::HandleRequest(http1_request request, http1_responder answer) {
  auto decoded = context_.dialect.DecodeRequest(request.head);
  if (!decoded) {
    Reject(std::move(answer), http_status::kBadRequest, "", "a header has no valid value",
           kStartRetryAfter);
    return;
  }
  if (decoded->parts_unreadable) {
    context_.metrics.Count("gateway_unreadable_prompt_parts");
  }
  if (!can_route()) {
    Reject(std::move(answer), http_status::kServiceUnavailable, decoded->id,
           "no configuration or list yet", kStartRetryAfter);
    return;
  }
  if (rejecting_) {
    Reject(std::move(answer), http_status::kServiceUnavailable, decoded->id, "stopping",
           kStopRetryAfter);
    return;
  }
  const auto route = context_.routes.Find(decoded->host, decoded->target);
  if (!route) {
    Reject(std::move(answer), http_status::kNotFound, decoded->id, "no route", kStartRetryAfter);
    return;
  }
  const std::string* service = ServiceOf(*route, HashKey(decoded->id));
  if (service == nullptr) {
    Reject(std::move(answer), http_status::kServiceUnavailable, decoded->id,
           "route without a service", kStartRetryAfter);
    return;
  }
  const identification caller = IdentifyCaller(context_, *decoded, *route);
  if (const auto refused = RefusalOf(context_, caller, decoded->key, timer_service::now())) {
    Reject(std::move(answer), refused->status, decoded->id, refused->why, refused->retry_after);
    return;
  }
  const auto* identity = std::get_if<caller_identity>(&caller);
  decoded->body = std::move(request.body);
  decoded->digest = DigestOf(decoded->method, decoded->host, decoded->target, decoded->body);
  const bool takes_up = route->kind == request_kind::kStreaming && decoded->resume_after;
  admissible admitted{.request = std::move(*decoded),
                      .route = route,
                      .service = *service,
                      .caller = identity == nullptr ? std::nullopt : std::optional(*identity),
                      .received = request.received};
  if (takes_up) {
    TakeUp(std::move(admitted), std::move(answer));
  } else {
    Admit(std::move(admitted), std::nullopt, std::move(answer));
  }
}

void gateway::TakeUp(admissible admitted, http1_responder answer) {
  stream_directory::resumption wanted{.request = admitted.request.id,
                                      .stream = admitted.request.stream_id,
                                      .service = admitted.service,
                                      .oldest = LongestAge(admitted)};
  streams_.Find(std::move(wanted), std::move(answer),
                [this, admitted = std::move(admitted)](const stream_directory::finding& found,
                                                       http1_responder to) mutable {
                  const stream_origin& origin = found.origin.origin;
                  const std::string_view obstacle = ObstacleTo(found, admitted);
                  ReportTakenUp(admitted.request, found, obstacle);
                  if (!obstacle.empty()) {
                    Reject(std::move(to), http_status::kServiceUnavailable, admitted.request.id,
                           obstacle, kStreamRetryAfter);
                    return;
                  }
                  admitted.service = origin.service;
                  Admit(std::move(admitted), origin.software, std::move(to));
                });
}

microseconds gateway::LongestAge(const admissible& admitted) const {
  const milliseconds timeout = admitted.route->timeout;
  const auto& left = admitted.request.time_left;
  const milliseconds longest = context_.retries.LongestWait(admitted.route->name);
  if (!left || longest == milliseconds(0)) {
    return kTriesOfStream * timeout;
  }
  const milliseconds waited = std::max(std::max(timeout, longest) - *left, milliseconds(0));
  return std::min<milliseconds>(waited + kAgeMargin, kTriesOfStream * timeout);
}

std::string_view gateway::ObstacleTo(const stream_directory::finding& found,
                                     const admissible& admitted) const {
  const stream_origin& origin = found.origin.origin;
  const origin_evidence evidence = found.origin.evidence;
  // A stream that is not named can't have been remembered, so nobody's silence tells against it.
  const bool known =
      evidence == origin_evidence::kNoted || evidence == origin_evidence::kOnlyVersion ||
      (evidence == origin_evidence::kSeenVersion && admitted.request.stream_id.empty());
  if (!known) {
    return "the version that began the stream is unknown";
  }
  if (std::ranges::none_of(admitted.route->targets, [&](const route_target& target) {
        return target.service == origin.service;
      })) {
    return "the service of the stream is not on its route";
  }
  return ServersOf(origin) == 0 ? kNoServerOfVersion : std::string_view();
}

std::size_t gateway::ServersOf(const stream_origin& origin) const {
  return context_.selector.CountSoftware(
      origin.service, context_.selector.ServingStage(origin.service), origin.software);
}

void gateway::ReportTakenUp(const forward_request& request, const stream_directory::finding& found,
                            std::string_view obstacle) {
  Log(log_level::kInfo, "stream_taken_up",
      {{"request", request.id},
       {"stream", request.stream_id},
       {"resumed_after", request.resume_after.value_or(0)},
       {"service", found.origin.origin.service},
       {"software", found.origin.origin.software},
       {"evidence", ToString(found.origin.evidence)},
       {"age_ms", found.origin.age.count()},
       {"asked", found.asked},
       {"silent", found.silent},
       {"took_ms", found.took / milliseconds(1)},
       {"servers", ServersOf(found.origin.origin)},
       {"obstacle", obstacle}});
  context_.metrics.Count("gateway_streams_taken_up",
                         {{"evidence", std::string(ToString(found.origin.evidence))},
                          {"admitted", obstacle.empty() ? "yes" : "no"}});
}

void gateway::Admit(admissible admitted, std::optional<std::string> software,
                    http1_responder answer) {
  const std::optional<caller_identity> caller = admitted.caller;
  const tenant_payments::request paying{.id = admitted.request.id,
                                        .caller = caller.value_or(caller_identity()),
                                        .arrived = admitted.received};
  auto forward = [this, admitted = std::move(admitted),
                  software = std::move(software)](http1_responder to) mutable {
    Forward({.context = context_,
             .reservations = reservations_,
             .slots = slots_,
             .streams = streams_,
             .request = std::move(admitted.request),
             .route = std::move(admitted.route),
             .service = std::move(admitted.service),
             .software = std::move(software),
             .caller = std::move(admitted.caller),
             .answer = std::move(to),
             .received = admitted.received,
             .on_ended = {}});
  };
  if (caller) {
    payments_.Pay(paying, std::move(answer), std::move(forward));
  } else {
    forward(std::move(answer));
  }
}

void gateway::Forward(forward_exchange::options settings) {
  settings.on_ended = [this, caller = settings.caller](forward_exchange& ended, bool not_run) {
    if (caller && not_run) {
      payments_.Refund(*caller);
    }
    exchanges_.erase(ended.shared_from_this());
  };
  const auto exchange = std::make_shared<forward_exchange>(std::move(settings));
  exchanges_.insert(exchange);
  exchange->Start();
}

void gateway::Reject(http1_responder answer, int status, std::string_view id, std::string_view why,
                     milliseconds retry_after) {
  Log(log_level::kWarning, "request_rejected",
      {{"request", id},
       {"status", status},
       {"why", why},
       {"configuration",
        context_.routes.configuration() ? context_.routes.configuration()->version : 0}});
  context_.metrics.Count("gateway_rejected", {{"status", std::to_string(status)}});
  std::move(answer).Reply(status,
                          status == http_status::kServiceUnavailable
                              ? context_.dialect.RejectionHeaders(retry_after)
                              : http_headers{},
                          std::string(why) + "\n");
}

void gateway::OnConfiguration(std::shared_ptr<const forward_configuration> next) {
  ApplyConfiguration(std::move(next), configuration_source::kPublisher);
}

void gateway::ApplyConfiguration(std::shared_ptr<const forward_configuration> next,
                                 configuration_source source) {
  const std::uint64_t version = next->version;
  const std::uint64_t before =
      context_.routes.configuration() ? context_.routes.configuration()->version : 0;
  if (next->tenants_unknown && context_.freshness.bounded()) {
    if (refused_lines_.Permits(std::to_string(version), timer_service::now())) {
      Log(log_level::kWarning, "configuration_refused",
          {{"version", version},
           {"before", before},
           {"reason", "from a process that may have left its tenants out"},
           {"suppressed", refused_lines_.TakeSuppressed()}});
    }
    return;
  }
  if (context_.routes.Apply(std::move(next))) {
    const forward_configuration& applied = *context_.routes.configuration();
    context_.tenants = tenant_directory(applied.tenants);
    context_.freshness.OnApplied(version, context_.tenants.configured());
    Log(log_level::kInfo, "configuration_applied",
        {{"version", version},
         {"before", before},
         {"source", source == configuration_source::kPeer ? "peer" : "publisher"},
         {"routes", applied.routes.size()},
         {"tenants", applied.tenants ? applied.tenants->tenants.size() : 0},
         {"unreadable_tenants", applied.tenants ? applied.tenants->unreadable : 0}});
    context_.metrics.Set("gateway_configuration_version", {}, static_cast<double>(version));
    if (on_limits_) {
      on_limits_(context_.routes.configuration()->limits);
    }
  }
}

void gateway::UpdateSelector() {
  context_.selector.Update(context_.backends.backends());
  streams_.history().Update(context_.backends.backends(), timer_service::now());
}

void gateway::OnBackends(std::vector<backend_record> records, store_position at) {
  const std::size_t count = records.size();
  context_.backends.Replace(std::move(records), at, timer_service::now());
  Log(log_level::kInfo, "backends_listed",
      {{"count", count},
       {"deferred", context_.backends.deferred()},
       {"era", at.era},
       {"revision", at.revision}});
  list_known_ = true;
  UpdateSelector();
  streams_.history().OnList(timer_service::now());
}

void gateway::OnBackendPut(backend_record record) {
  Log(log_level::kInfo, "backend_put",
      {{"backend", record.id},
       {"service", record.service},
       {"software", record.software},
       {"leaving", record.leaving},
       {"stage", ToString(record.stage)},
       {"revision", record.published.revision}});
  const std::string id = record.id;
  const auto& listed = context_.backends.backends();
  const auto known = listed.find(id);
  const auto before = known == listed.end() ? std::nullopt : std::optional(known->second);
  context_.backends.Put(std::move(record));
  if (const auto newest = listed.find(id); newest != listed.end()) {
    context_.selector.Update(newest->second);
    streams_.history().Update(newest->second);
    if (before && before->started_ms < newest->second.started_ms) {
      OnLapsed(*before);
    }
  }
}

void gateway::OnBackendRemoved(const std::string& id, store_position at) {
  const auto& listed = context_.backends.backends();
  const auto known = listed.find(id);
  const auto before = known == listed.end() ? std::nullopt : std::optional(known->second);
  context_.backends.Remove(id, at, timer_service::now());
  if (before) {
    Log(log_level::kInfo, "backend_removed",
        {{"backend", id}, {"revision", at.revision}, {"in_force", !listed.contains(id)}});
  }
  if (before && !listed.contains(id)) {
    OnLapsed(*before);
  }
  UpdateSelector();
}

void gateway::OnPublisherLost(const std::string& /*reason*/) {
  publisher_lost_ = true;
  context_.backends.PublisherLost();
}

void gateway::OnPublisherRegained() {
  if (std::exchange(publisher_lost_, false)) {
    context_.backends.PublisherRegained(timer_service::now());
  }
}

void gateway::OnBackendsConfirmed(instant sent) {
  streams_.history().OnConfirmed(sent);
  streams_.OnListConfirmed();
}

void gateway::OnConfigurationLost() {
  configuration_lost_ = true;
  Log(log_level::kWarning, "configuration_lost",
      {{"version", context_.routes.configuration() ? context_.routes.configuration()->version : 0},
       {"age_ms", configuration_age(timer_service::now()) / milliseconds(1)}});
}

void gateway::OnConfigurationRegained() {
  configuration_lost_ = false;
  configuration_confirmed_ = timer_service::now();
}

void gateway::OnConfigurationConfirmed(instant sent) { context_.freshness.OnAnswer(sent); }

void gateway::ApplySnapshot(gateway_snapshot other) {
  if (other.configuration) {
    ApplyConfiguration(std::move(other.configuration), configuration_source::kPeer);
  }
  if (other.confirmed) {
    context_.freshness.OnPeer(other.confirmed->version, other.confirmed->as_of);
  }
  for (const backend_record& record : other.backends) {
    if (record.leaving && MarkBackendLeaving(context_, record)) {
      Log(log_level::kInfo, "peer_says_leaving",
          {{"backend", record.id}, {"list_revision", other.list_position.revision}});
    }
  }
  bool departed = false;
  for (const departed_backend& each : other.departed) {
    if (context_.backends.Depart(each, timer_service::now())) {
      Log(log_level::kInfo, "peer_says_departed",
          {{"backend", each.id},
           {"revision", each.at.revision},
           {"list_revision", other.list_position.revision}});
      departed = true;
    }
  }
  if (departed) {
    UpdateSelector();
  }
  const bool newer = other.list_position > context_.backends.position();
  if (other.list_position != store_position() && !other.backends.empty() &&
      (!list_known_ || (publisher_lost_ && newer))) {
    OnBackends(std::move(other.backends), other.list_position);
  }
}

snapshot_scope gateway::WantedScope() const {
  const auto& configuration = context_.routes.configuration();
  const bool wants_list = !list_known_ || publisher_lost_;
  return {.configuration_after = configuration ? configuration->version : 0,
          .list_after = wants_list ? std::optional(context_.backends.position()) : std::nullopt,
          .departed_after = wants_list ? std::optional(context_.backends.lost_at()) : std::nullopt};
}

gateway_snapshot gateway::Snapshot(const snapshot_scope& scope) const {
  const auto& configuration = context_.routes.configuration();
  const store_position position = context_.backends.position();
  const bool includes_configuration = configuration && scope.configuration_after &&
                                      configuration->version > *scope.configuration_after;
  const bool includes_list = scope.list_after && position > *scope.list_after;
  gateway_snapshot own{.configuration = includes_configuration ? configuration : nullptr,
                       .backends = {},
                       .list_position = includes_list ? position : store_position(),
                       .gateways = 0,
                       .prefill_shares = {}};
  if (configuration) {
    for (const auto& [name, service] : configuration->services) {
      const double tokens = service.engine ? static_cast<double>(service.engine->kv_tokens) : 0;
      if (const auto share =
              context_.balance.PrefillShare(name, tokens, context_.prefills.prefill_rate(name))) {
        own.prefill_shares[name] = *share;
      }
    }
  }
  if (configuration && configuration->tenants && context_.freshness.as_of()) {
    own.confirmed = {.version = configuration->version, .as_of = *context_.freshness.as_of()};
  }
  if (scope.departed_after) {
    own.departed = context_.backends.DepartedAfter(*scope.departed_after);
  }
  for (const auto& [id, record] : context_.backends.backends()) {
    if (includes_list || record.leaving) {
      own.backends.push_back(record);
    }
  }
  return own;
}

}  // namespace jacinthspool
