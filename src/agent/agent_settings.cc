#include "src/agent/agent_settings.h"

#include <algorithm>

namespace jacinthspool {
namespace {

void ApplyTiming(const timing_settings& timing, agent_policy& policy) {
  policy.lease = milliseconds(timing.lease_ms);
  policy.grant_life = milliseconds(timing.grant_life_ms);
  policy.transfer_timeout = milliseconds(timing.transfer_timeout_ms);
  policy.answer_retained = milliseconds(timing.answer_retained_ms);
  policy.key_retained = milliseconds(timing.key_retained_ms);
}

void ApplyPool(const pool_settings& pool, agent_policy& policy) {
  policy.kind = KindOf(pool);
  policy.pieces = pool.pieces;
  policy.max_running = pool.max_running;
  policy.max_queued = pool.max_queued;
  policy.prefill_tokens_per_s = pool.prefill_tokens_per_s;
  policy.token_time = milliseconds(pool.token_ms);
  policy.kv_life = milliseconds(pool.kv_life_ms);
  policy.kv_bytes_per_token = static_cast<double>(pool.kv_bytes_per_token);
  policy.link_bytes_per_s = static_cast<double>(pool.link_bytes_per_s);
}

}  // namespace

work_kind KindOf(const pool_settings& pool) {
  switch (pool.kind) {
    case config::pool_kind::prefill:
      return work_kind::kPrefill;
    case config::pool_kind::decode:
      return work_kind::kDecode;
    case config::pool_kind::service:
      return work_kind::kCall;
  }
  return work_kind::kCall;
}

agent_policy PolicyFor(const settings_snapshot& settings, std::string_view backend) {
  agent_policy policy;
  ApplyTiming(*settings.operators->timing, policy);
  const pool_settings* const pool = settings.FindPoolOfBackend(backend);
  if (pool == nullptr) {
    return policy;
  }
  ApplyPool(*pool, policy);
  for (const auto& access : settings.operators->access) {
    if (std::find(access->pools.begin(), access->pools.end(), pool->name) != access->pools.end()) {
      policy.shares.push_back({.team = access->team, .percent = access->share_percent});
    }
  }
  return policy;
}

bool IsLeaving(const settings_snapshot& settings, std::string_view backend) {
  const auto& leaving = settings.operators->leaving;
  return std::find(leaving.begin(), leaving.end(), backend) != leaving.end();
}

}  // namespace jacinthspool
