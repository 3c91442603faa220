#include "src/entry/entry_settings.h"

#include <algorithm>

#include "jacinthspool/impl/subset.h"

namespace jacinthspool {
namespace {

/// Maximum number of backend servers of a pool that an entry connects to.
constexpr std::size_t kSubsetMembers = 24;
/// How many of these may be in other data centres.
constexpr std::size_t kSpillOverMembers = 6;

work_kind KindOf(config::pool_kind kind) {
  switch (kind) {
    case config::pool_kind::prefill:
      return work_kind::kPrefill;
    case config::pool_kind::decode:
      return work_kind::kDecode;
    default:
      return work_kind::kCall;
  }
}

routing_policy RoutingOf(config::routing_kind kind) {
  switch (kind) {
    case config::routing_kind::round_robin:
      return round_robin_policy{};
    case config::routing_kind::least_load:
      return least_load_policy{};
    case config::routing_kind::prefill_first:
      return prefill_first_policy{};
    case config::routing_kind::entry_queue:
      return entry_queue_policy{};
    default:
      return reservation_first_policy{};
  }
}

pool_view ViewOf(const pool_settings& pool, const entry_identity& entry) {
  pool_view view;
  view.name = pool.name;
  view.kind = KindOf(pool.kind);
  view.piece_tokens = pool.piece_tokens;
  view.prefill_tokens_per_s = pool.prefill_tokens_per_s;
  view.token_time = milliseconds(pool.token_ms);
  view.kv_bytes_per_token = static_cast<double>(pool.kv_bytes_per_token);
  view.link_bytes_per_s = static_cast<double>(pool.link_bytes_per_s);
  view.kv_life = milliseconds(pool.kv_life_ms);
  for (const auto& backend : pool.backends) {
    view.members.push_back({.backend = backend->name, .data_centre = backend->data_centre});
  }
  if (view.kind != work_kind::kCall) {
    view.members = ChooseSubset(view.members, entry.name, entry.data_centre, kSubsetMembers,
                                kSpillOverMembers);
  }
  return view;
}

bool AnyTeamMayUse(const settings_snapshot& settings, const std::string& pool) {
  return std::any_of(settings.teams.begin(), settings.teams.end(),
                     [&](const auto& team) { return settings.TeamMayUse(team.first, pool); });
}

}  // namespace

entry_policy PolicyFor(const settings_snapshot& settings, const entry_identity& entry) {
  const operator_settings& operators = *settings.operators;
  const limit_settings& limits = *operators.limits;
  const timing_settings& timing = *operators.timing;
  entry_policy policy;
  policy.data_centre = entry.data_centre;
  policy.routing = RoutingOf(operators.routing);
  policy.max_requests = limits.max_requests;
  policy.max_attempts = limits.max_attempts;
  policy.retry_percent = limits.retry_percent;
  policy.lease = milliseconds(timing.lease_ms);
  policy.transfer_timeout = milliseconds(timing.transfer_timeout_ms);
  for (const auto& pool : operators.pools) {
    if (AnyTeamMayUse(settings, pool->name)) {
      policy.pools.push_back(ViewOf(*pool, entry));
    }
  }
  return policy;
}

std::map<std::string, std::string> AgentsOf(const settings_snapshot& settings,
                                            const entry_policy& policy) {
  std::map<std::string, std::string> agents;
  for (const pool_view& view : policy.pools) {
    const pool_settings* pool = settings.FindPool(view.name);
    for (const auto& backend : pool->backends) {
      const bool chosen =
          std::any_of(view.members.begin(), view.members.end(),
                      [&](const pool_member& member) { return member.backend == backend->name; });
      if (chosen) {
        agents.emplace(backend->name, backend->address);
      }
    }
  }
  return agents;
}

}  // namespace jacinthspool
