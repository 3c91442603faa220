#include "src/gateway/snapshot.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include "jacinthspool/impl/overloaded.h"
#include "schema/generated/snapshot_generated.h"
#include "src/gateway/flatbuffer_codec.h"
#include "src/gateway/record_check.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {
namespace {

std::uint32_t Ms(milliseconds value) { return static_cast<std::uint32_t>(value.count()); }

std::shared_ptr<snapshot::listed_route_value> ToWire(const forward_route& route) {
  auto wire = std::make_shared<snapshot::listed_route_value>();
  wire->name = route.name;
  wire->host = route.host;
  wire->prefix = route.prefix;
  wire->kind = static_cast<snapshot::request_kind>(route.kind);
  wire->max_attempts = route.max_attempts;
  wire->timeout_ms = Ms(route.timeout);
  wire->latency_objective_ms = Ms(route.latency_objective);
  wire->silence_limit_ms = Ms(route.silence_limit);
  wire->priority = route.priority;
  wire->resumable = route.resumable;
  wire->is_public = route.is_public;
  for (const route_target& target : route.targets) {
    auto each = std::make_shared<snapshot::weighted_target_value>();
    each->service = target.service;
    each->weight = target.weight;
    wire->targets.push_back(std::move(each));
  }
  return wire;
}

forward_route FromWire(const snapshot::listed_route_value& wire) {
  forward_route route{.name = wire.name,
                      .host = wire.host,
                      .prefix = wire.prefix,
                      .kind = static_cast<request_kind>(wire.kind),
                      .max_attempts = wire.max_attempts,
                      .timeout = milliseconds(wire.timeout_ms),
                      .latency_objective = milliseconds(wire.latency_objective_ms),
                      .silence_limit = milliseconds(wire.silence_limit_ms),
                      .priority = wire.priority,
                      .targets = {},
                      .resumable = wire.resumable,
                      .is_public = wire.is_public};
  for (const auto& target : wire.targets) {
    route.targets.push_back({.service = target->service, .weight = target->weight});
  }
  return route;
}

std::shared_ptr<snapshot::listed_service_value> ToWire(const forward_service& service) {
  auto wire = std::make_shared<snapshot::listed_service_value>();
  wire->name = service.name;
  wire->has_engine = service.engine.has_value();
  if (service.engine) {
    wire->kv_tokens = service.engine->kv_tokens;
    wire->kv_handle_life = static_cast<std::uint64_t>(service.engine->kv_handle_life.count());
    wire->longest_hold = static_cast<std::uint64_t>(service.engine->longest_hold.count());
    wire->tokens_per_event = service.engine->tokens_per_event;
  }
  return wire;
}

forward_service FromWire(const snapshot::listed_service_value& wire) {
  forward_service service{.name = wire.name, .engine = std::nullopt};
  if (wire.has_engine) {
    service.engine = engine_profile{
        .kv_tokens = wire.kv_tokens,
        .kv_handle_life = microseconds(static_cast<std::int64_t>(wire.kv_handle_life)),
        .longest_hold = microseconds(static_cast<std::int64_t>(wire.longest_hold)),
        .tokens_per_event = wire.tokens_per_event};
  }
  return service;
}

/// Format of configurations that have the tenants.
constexpr std::uint32_t kFormatWithTenants = 1;

std::shared_ptr<snapshot::listed_tenant_value> ToWire(const tenant& value) {
  auto wire = std::make_shared<snapshot::listed_tenant_value>();
  wire->name = value.name;
  for (const key_digest& key : value.keys) {
    wire->keys.emplace_back(key.high, key.low);
  }
  wire->has_priority = value.priority.has_value();
  wire->priority = value.priority.value_or(0);
  wire->unit = static_cast<snapshot::limit_unit>(value.limit.unit);
  wire->per_second = value.limit.per_second;
  wire->burst = value.limit.burst;
  wire->plain_tokens = value.limit.plain_tokens;
  return wire;
}

tenant FromWire(const snapshot::listed_tenant_value& wire) {
  tenant value{.name = wire.name,
               .keys = {},
               .priority = wire.has_priority ? std::optional(wire.priority) : std::nullopt,
               .limit = {.per_second = wire.per_second,
                         .burst = wire.burst,
                         .unit = static_cast<limit_unit>(wire.unit),
                         .plain_tokens = wire.plain_tokens}};
  for (const snapshot::listed_key& key : wire.keys) {
    value.keys.push_back({.high = key.high(), .low = key.low()});
  }
  return value;
}

std::shared_ptr<snapshot::listed_configuration_value> ToWire(const forward_configuration& value) {
  auto wire = std::make_shared<snapshot::listed_configuration_value>();
  wire->version = value.version;
  for (const forward_route& route : value.routes) {
    wire->routes.push_back(ToWire(route));
  }
  for (const auto& [name, service] : value.services) {
    wire->services.push_back(ToWire(service));
  }
  wire->max_head_bytes = value.limits.max_head_bytes;
  wire->max_body_bytes = value.limits.max_body_bytes;
  wire->head_timeout_ms = Ms(value.limits.head_timeout);
  wire->idle_timeout_ms = Ms(value.limits.idle_timeout);
  wire->format = kFormatWithTenants;
  wire->has_tenants = value.tenants != nullptr;
  if (value.tenants) {
    wire->unreadable_tenants = value.tenants->unreadable;
    for (const tenant& each : value.tenants->tenants) {
      wire->tenants.push_back(ToWire(each));
    }
  }
  return wire;
}

std::shared_ptr<const forward_configuration> FromWire(
    const snapshot::listed_configuration_value& wire) {
  auto value = std::make_shared<forward_configuration>();
  value->version = wire.version;
  for (const auto& route : wire.routes) {
    value->routes.push_back(FromWire(*route));
  }
  for (const auto& service : wire.services) {
    value->services[service->name] = FromWire(*service);
  }
  value->limits = {.max_head_bytes = wire.max_head_bytes,
                   .max_body_bytes = wire.max_body_bytes,
                   .head_timeout = milliseconds(wire.head_timeout_ms),
                   .idle_timeout = milliseconds(wire.idle_timeout_ms)};
  if (wire.has_tenants) {
    tenant_list list{.tenants = {}, .unreadable = wire.unreadable_tenants};
    for (const auto& each : wire.tenants) {
      list.tenants.push_back(FromWire(*each));
    }
    value->tenants = std::make_shared<const tenant_list>(std::move(list));
  }
  value->tenants_unknown = wire.format < kFormatWithTenants;
  return value;
}

std::shared_ptr<snapshot::listed_backend_value> ToWire(const backend_record& record) {
  auto wire = std::make_shared<snapshot::listed_backend_value>();
  wire->id = record.id;
  wire->started_ms = record.started_ms;
  wire->service = record.service;
  wire->software = record.software;
  wire->address = record.address;
  wire->data_centre = record.data_centre;
  wire->stage = static_cast<snapshot::engine_stage>(record.stage);
  wire->slots = record.slots;
  wire->leaving = record.leaving;
  wire->revision = record.published.revision;
  wire->era = record.published.era;
  return wire;
}

backend_record FromWire(const snapshot::listed_backend_value& wire) {
  return {.id = wire.id,
          .started_ms = wire.started_ms,
          .service = wire.service,
          .software = wire.software,
          .address = wire.address,
          .data_centre = wire.data_centre,
          .stage = static_cast<engine_stage>(wire.stage),
          .slots = wire.slots,
          .leaving = wire.leaving,
          .published = {wire.era, wire.revision}};
}

std::shared_ptr<snapshot::departed_backend_value> ToWire(const departed_backend& departed) {
  auto wire = std::make_shared<snapshot::departed_backend_value>();
  wire->id = departed.id;
  wire->started_ms = departed.started_ms;
  wire->revision = departed.at.revision;
  wire->era = departed.at.era;
  return wire;
}

departed_backend FromWire(const snapshot::departed_backend_value& wire) {
  return {.id = wire.id, .started_ms = wire.started_ms, .at = {wire.era, wire.revision}};
}

std::uint64_t AgeOf(instant at, instant now) {
  return static_cast<std::uint64_t>(std::max<microseconds>(now - at, microseconds(0)).count());
}

/// \returns The time of something that old; nothing is older than a day.
instant TimeOf(std::uint64_t age, instant now) {
  constexpr std::uint64_t kOldest = microseconds(std::chrono::hours(24)).count();
  return now - microseconds(static_cast<std::int64_t>(std::min(age, kOldest)));
}

std::shared_ptr<snapshot::stated_limit_value> ToWire(const named_limit& limit, instant now) {
  auto wire = std::make_shared<snapshot::stated_limit_value>();
  wire->backend = limit.backend;
  wire->started_ms = limit.started_ms;
  wire->limited = limit.per_second.has_value();
  wire->per_second = limit.per_second.value_or(0);
  wire->age = AgeOf(limit.stated, now);
  return wire;
}

named_limit FromWire(const snapshot::stated_limit_value& wire, instant now) {
  return {.backend = wire.backend,
          .started_ms = wire.started_ms,
          .per_second = wire.limited ? std::optional(wire.per_second) : std::nullopt,
          .stated = TimeOf(wire.age, now)};
}

std::shared_ptr<snapshot::fleet_report_value> ToWire(const gateway_report& report, instant now) {
  auto wire = std::make_shared<snapshot::fleet_report_value>();
  wire->name = report.name;
  wire->age = AgeOf(report.made, now);
  for (const auto& [service, rate] : report.request_rates) {
    auto each = std::make_shared<snapshot::service_rate_value>();
    each->service = service;
    each->per_second = rate;
    wire->rates.push_back(std::move(each));
  }
  return wire;
}

gateway_report FromWire(const snapshot::fleet_report_value& wire, instant now) {
  gateway_report report{.name = wire.name, .request_rates = {}, .made = TimeOf(wire.age, now)};
  for (const auto& rate : wire.rates) {
    report.request_rates[rate->service] = rate->per_second;
  }
  return report;
}

std::shared_ptr<snapshot::listed_suspect_value> ToWire(const crash_suspect& suspect,
                                                       const suspect_standing& standing) {
  auto wire = std::make_shared<snapshot::listed_suspect_value>();
  std::visit(overloaded{[&](prompt_part part) { wire->low = part; },
                        [&](const request_digest& request) {
                          wire->request = true;
                          wire->high = request.high;
                          wire->low = request.low;
                        }},
             suspect.what());
  wire->known_good = standing.known_good;
  wire->vouched_since = standing.vouched_since;
  return wire;
}

crash_suspect FromWire(const snapshot::listed_suspect_value& wire) {
  return wire.request ? crash_suspect(request_digest{.high = wire.high, .low = wire.low})
                      : crash_suspect(wire.low);
}

std::shared_ptr<snapshot::listed_crash_value> ToWire(const crash_report& report, instant now) {
  auto wire = std::make_shared<snapshot::listed_crash_value>();
  wire->backend = report.server.backend;
  wire->started_ms = report.server.started_ms;
  wire->episode = report.episode;
  wire->sign = static_cast<std::uint8_t>(report.sign);
  wire->age = AgeOf(report.ended, now);
  wire->refuted = report.refuted;
  wire->gateways.assign(report.gateways.begin(), report.gateways.end());
  for (const auto& [suspect, standing] : report.suspects) {
    wire->suspects.push_back(ToWire(suspect, standing));
  }
  return wire;
}

/// \returns Nothing when the report is out of range: of a peer of another version.
std::optional<crash_report> FromWire(const snapshot::listed_crash_value& wire, instant now) {
  if (wire.sign > static_cast<std::uint8_t>(end_sign::kRefused) ||
      wire.suspects.size() > crash_report::kMaxSuspects || wire.gateways.empty() ||
      wire.gateways.size() > crash_report::kMaxGateways) {
    return std::nullopt;
  }
  crash_report report{.server = {wire.backend, wire.started_ms},
                      .episode = wire.episode,
                      .sign = static_cast<end_sign>(wire.sign),
                      .ended = TimeOf(wire.age, now),
                      .refuted = wire.refuted,
                      .gateways = {wire.gateways.begin(), wire.gateways.end()}};
  for (const auto& suspect : wire.suspects) {
    report.suspects[FromWire(*suspect)] = {.known_good = suspect->known_good,
                                           .vouched_since = suspect->vouched_since};
  }
  return report;
}

std::shared_ptr<snapshot::listed_pace_value> ToWire(const server_pace& pace, instant now) {
  auto wire = std::make_shared<snapshot::listed_pace_value>();
  wire->backend = pace.server.backend;
  wire->started_ms = pace.server.started_ms;
  for (const pace_report& report : pace.reports) {
    wire->reports.emplace_back(
        report.number, report.reporter, static_cast<float>(report.event_us),
        static_cast<float>(report.events),
        static_cast<std::uint32_t>(std::min<std::uint64_t>(
            AgeOf(report.made, now) / 1000, std::numeric_limits<std::uint32_t>::max())));
  }
  return wire;
}

server_pace FromWire(const snapshot::listed_pace_value& wire, instant now) {
  server_pace pace{.server = {wire.backend, wire.started_ms}, .reports = {}};
  for (const snapshot::pace_measurement& each : wire.reports) {
    pace.reports.push_back({.reporter = each.reporter(),
                            .number = each.number(),
                            .event_us = each.event_us(),
                            .events = each.events(),
                            .made = now - milliseconds(each.age_ms())});
  }
  return pace;
}

std::shared_ptr<snapshot::listed_trial_value> ToWire(const suspect_trial& trial, instant now) {
  auto wire = std::make_shared<snapshot::listed_trial_value>();
  wire->suspect = ToWire(trial.suspect, {});
  wire->gateway = trial.gateway;
  wire->number = trial.number;
  wire->age = AgeOf(trial.sent, now);
  return wire;
}

/// Path at which a gateway serves its snapshot.
constexpr std::string_view kSnapshotPath = "/jacinthspool/snapshot";
constexpr std::string_view kConfigurationAfter = "configuration=";
constexpr std::string_view kListAfter = "list=";
constexpr std::string_view kListEra = "era=";
constexpr std::string_view kDepartedAfter = "departed=";
constexpr std::string_view kDepartedEra = "departed_in=";

/// \returns The number after `name` in a query, or nothing.
std::optional<std::uint64_t> NumberIn(std::string_view query, std::string_view name) {
  const std::size_t at = query.find(name);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = query.substr(at + name.size());
  std::uint64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc() ? std::optional(value) : std::nullopt;
}

}  // namespace

gateway_snapshot SnapshotOf(const current_record& current) {
  gateway_snapshot answer{.configuration = nullptr,
                          .backends = {},
                          .list_position = current.at,
                          .gateways = 0,
                          .prefill_shares = {}};
  if (current.record) {
    answer.backends.push_back(*current.record);
  }
  return answer;
}

current_record RecordOf(const gateway_snapshot& answer) {
  return {.record = answer.backends.empty() ? std::nullopt : std::optional(answer.backends.front()),
          .at = answer.list_position};
}

std::string SnapshotTarget(const snapshot_scope& scope) {
  std::string target(kSnapshotPath);
  char separator = '?';
  const auto append = [&](std::string_view name, const std::optional<std::uint64_t>& after) {
    if (after) {
      target += std::exchange(separator, '&');
      target += name;
      target += std::to_string(*after);
    }
  };
  append(kConfigurationAfter, scope.configuration_after);
  if (scope.list_after) {
    append(kListAfter, scope.list_after->revision);
    append(kListEra, scope.list_after->era);
  }
  if (scope.departed_after) {
    append(kDepartedAfter, scope.departed_after->revision);
    append(kDepartedEra, scope.departed_after->era);
  }
  return target;
}

std::optional<snapshot_scope> ScopeOf(std::string_view target) {
  const std::size_t mark = std::min(target.find('?'), target.size());
  if (target.substr(0, mark) != kSnapshotPath) {
    return std::nullopt;
  }
  const std::string_view query = target.substr(mark);
  snapshot_scope scope{.configuration_after = NumberIn(query, kConfigurationAfter),
                       .list_after = std::nullopt};
  if (const auto revision = NumberIn(query, kListAfter)) {
    // A process of an earlier version sends no era.
    scope.list_after = store_position(NumberIn(query, kListEra).value_or(0), *revision);
  }
  if (const auto revision = NumberIn(query, kDepartedAfter)) {
    scope.departed_after = store_position(NumberIn(query, kDepartedEra).value_or(0), *revision);
  }
  return scope;
}

std::string EncodeSnapshot(const gateway_snapshot& value) {
  snapshot::gateway_snapshot_value wire;
  if (value.configuration) {
    wire.configuration = ToWire(*value.configuration);
  }
  for (const backend_record& record : value.backends) {
    wire.backends.push_back(ToWire(record));
  }
  wire.list_revision = value.list_position.revision;
  wire.list_era = value.list_position.era;
  wire.gateways = value.gateways;
  for (const auto& [service, share] : value.prefill_shares) {
    auto each = std::make_shared<snapshot::wanted_stage_value>();
    each->service = service;
    each->prefill_share = share;
    wire.stages.push_back(std::move(each));
  }
  const instant now = timer_service::now();
  for (const named_limit& limit : value.limits) {
    wire.limits.push_back(ToWire(limit, now));
  }
  for (const gateway_report& report : value.fleet) {
    wire.fleet.push_back(ToWire(report, now));
  }
  for (const departed_backend& each : value.departed) {
    wire.departed.push_back(ToWire(each));
  }
  for (const crash_report& report : value.crashes) {
    wire.crashes.push_back(ToWire(report, now));
  }
  for (const suspect_trial& trial : value.trials) {
    wire.trials.push_back(ToWire(trial, now));
  }
  for (const server_pace& pace : value.paces) {
    wire.paces.push_back(ToWire(pace, now));
  }
  if (value.confirmed) {
    wire.confirmed = std::make_shared<snapshot::configuration_state_value>();
    wire.confirmed->version = value.confirmed->version;
    wire.confirmed->age = AgeOf(value.confirmed->as_of, now);
  }
  wire.members = value.members;
  wire.members_digest = value.members_digest;
  return EncodeTable<snapshot::gateway_snapshot>(wire);
}

std::optional<gateway_snapshot> DecodeSnapshot(std::string_view bytes) {
  const auto decoded = DecodeTable<snapshot::gateway_snapshot>(bytes);
  if (!decoded) {
    return std::nullopt;
  }
  const snapshot::gateway_snapshot_value& wire = *decoded;
  gateway_snapshot value{.configuration = nullptr,
                         .backends = {},
                         .list_position = {wire.list_era, wire.list_revision},
                         .gateways = wire.gateways,
                         .prefill_shares = {}};
  // A peer of another version may accept what this one cannot use.
  if (wire.configuration) {
    auto configuration = FromWire(*wire.configuration);
    if (const std::string_view fault = FaultOf(*configuration); fault.empty()) {
      value.configuration = std::move(configuration);
    } else {
      value.fault = fault;
    }
  }
  for (const auto& each : wire.backends) {
    backend_record record = FromWire(*each);
    if (const std::string_view fault = FaultOf(record); fault.empty()) {
      value.backends.push_back(std::move(record));
    } else {
      value.fault = fault;
    }
  }
  for (const auto& each : wire.stages) {
    value.prefill_shares[each->service] = each->prefill_share;
  }
  const instant now = timer_service::now();
  for (const auto& limit : wire.limits) {
    // A limit out of range is of a peer of another version: as if it had not been stated.
    if (!limit->limited || (limit->per_second >= 0 && std::isfinite(limit->per_second))) {
      value.limits.push_back(FromWire(*limit, now));
    }
  }
  for (const auto& report : wire.fleet) {
    value.fleet.push_back(FromWire(*report, now));
  }
  for (const auto& each : wire.departed) {
    value.departed.push_back(FromWire(*each));
  }
  for (const auto& each : wire.crashes) {
    if (auto report = FromWire(*each, now)) {
      value.crashes.push_back(*std::move(report));
    } else {
      value.fault = "a crash report out of range";
    }
  }
  if (wire.confirmed) {
    value.confirmed = configuration_confirmation{.version = wire.confirmed->version,
                                                 .as_of = TimeOf(wire.confirmed->age, now)};
  }
  value.members = wire.members;
  value.members_digest = wire.members_digest;
  for (const auto& each : wire.paces) {
    value.paces.push_back(FromWire(*each, now));
  }
  for (const auto& each : wire.trials) {
    if (each->suspect) {
      value.trials.push_back({.suspect = FromWire(*each->suspect),
                              .gateway = each->gateway,
                              .number = each->number,
                              .sent = TimeOf(each->age, now)});
    }
  }
  return value;
}

}  // namespace jacinthspool
