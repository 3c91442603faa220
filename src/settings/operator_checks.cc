#include <algorithm>
#include <map>

#include "src/settings/document_checks.h"
#include "src/settings/document_place.h"
#include "src/settings/name_checks.h"
#include "src/settings/schema_reader.h"

namespace jacinthspool {
namespace {

constexpr std::uint32_t kWholePercent = 100;
constexpr std::uint32_t kHeartbeatsPerLease = 2;

class operator_checker {
 public:
  operator_checker(const operator_settings& operators, std::string_view place, findings& found)
      : operators_(operators), place_(place, found) {}

  void Run() {
    CheckNotZero(place_, "revision", operators_.revision);
    CheckPools();
    CheckAccess();
    CheckTiming(*operators_.timing);
    CheckLimits(*operators_.limits);
    CheckLeaving();
  }

 private:
  void CheckPools() {
    const place_scope list(place_, std::string("pools"));
    for (std::size_t i = 0; i < operators_.pools.size(); ++i) {
      const place_scope element(place_, i);
      CheckPool(*operators_.pools[i]);
    }
  }

  void CheckPool(const pool_settings& pool) {
    CheckName(place_, "name", pool.name);
    pools_.Add(place_, "name", pool.name);
    pool_names_.push_back(pool.name);
    CheckModel(pool);
    CheckCapacity(pool);
    const place_scope list(place_, std::string("backends"));
    for (std::size_t i = 0; i < pool.backends.size(); ++i) {
      const place_scope element(place_, i);
      CheckBackend(*pool.backends[i]);
    }
  }

  void CheckModel(const pool_settings& pool) {
    const bool service = pool.kind == config::pool_kind::service;
    if (!service && pool.model.empty()) {
      place_.Add("model", "is missing: a prefill or decode pool serves one model");
    }
    if (service && !pool.model.empty()) {
      place_.Add("model", "has no meaning in a service pool");
    }
  }

  void CheckCapacity(const pool_settings& pool) {
    CheckNotZero(place_, "pieces", pool.pieces);
    CheckNotZero(place_, "piece_tokens", pool.piece_tokens);
    CheckNotZero(place_, "max_running", pool.max_running);
    CheckNotZero(place_, "prefill_tokens_per_s", pool.prefill_tokens_per_s);
    CheckNotZero(place_, "token_ms", pool.token_ms);
    CheckNotZero(place_, "kv_bytes_per_token", pool.kv_bytes_per_token);
    CheckNotZero(place_, "link_bytes_per_s", pool.link_bytes_per_s);
    CheckNotZero(place_, "kv_life_ms", pool.kv_life_ms);
  }

  void CheckBackend(const backend_settings& backend) {
    CheckName(place_, "name", backend.name);
    CheckName(place_, "data_centre", backend.data_centre);
    CheckAddress(place_, "address", backend.address);
    backends_.Add(place_, "name", backend.name);
    addresses_.Add(place_, "address", backend.address);
    backend_names_.push_back(backend.name);
  }

  void CheckAccess() {
    uniqueness_check teams("has another entry; give each team one");
    const place_scope list(place_, std::string("access"));
    for (std::size_t i = 0; i < operators_.access.size(); ++i) {
      const place_scope element(place_, i);
      CheckTeamAccess(*operators_.access[i], teams);
    }
  }

  void CheckTeamAccess(const team_access_settings& access, uniqueness_check& teams) {
    CheckName(place_, "team", access.team);
    teams.Add(place_, "team", access.team);
    if (access.share_percent == 0 || access.share_percent > kWholePercent) {
      place_.Add("share_percent", "must be from 1 to 100");
    }
    uniqueness_check pools("is in the list twice");
    const place_scope list(place_, std::string("pools"));
    for (std::size_t i = 0; i < access.pools.size(); ++i) {
      const place_scope element(place_, i);
      pools.Add(place_, "", access.pools[i]);
      CheckShareOf(access.pools[i], access.share_percent);
    }
  }

  void CheckShareOf(const std::string& pool, std::uint32_t percent) {
    if (std::find(pool_names_.begin(), pool_names_.end(), pool) == pool_names_.end()) {
      place_.Add("'" + pool + "' is not a pool" + Suggestion(pool, pool_names_));
      return;
    }
    std::uint64_t& total = shares_[pool];
    const bool was_within = total <= kWholePercent;
    total += percent;
    if (was_within && total > kWholePercent) {
      place_.Add("the teams' shares of '" + pool + "' add up to more than 100 percent");
    }
  }

  void CheckTiming(const timing_settings& timing) {
    const place_scope scope(place_, std::string("timing"));
    CheckNotZero(place_, "heartbeat_ms", timing.heartbeat_ms);
    CheckNotZero(place_, "grant_life_ms", timing.grant_life_ms);
    CheckNotZero(place_, "connect_timeout_ms", timing.connect_timeout_ms);
    CheckNotZero(place_, "engine_timeout_ms", timing.engine_timeout_ms);
    CheckNotZero(place_, "transfer_timeout_ms", timing.transfer_timeout_ms);
    CheckNotZero(place_, "answer_retained_ms", timing.answer_retained_ms);
    CheckNotZero(place_, "key_retained_ms", timing.key_retained_ms);
    CheckNotZero(place_, "resync_ms", timing.resync_ms);
    if (timing.lease_ms / kHeartbeatsPerLease < timing.heartbeat_ms) {
      place_.Add("lease_ms", "must be at least twice heartbeat_ms");
    }
  }

  void CheckLimits(const limit_settings& limits) {
    const place_scope scope(place_, std::string("limits"));
    CheckNotZero(place_, "max_body_bytes", limits.max_body_bytes);
    CheckNotZero(place_, "max_requests", limits.max_requests);
    CheckNotZero(place_, "max_attempts", limits.max_attempts);
    CheckNotZero(place_, "bytes_per_token", limits.bytes_per_token);
    CheckNotZero(place_, "first_token_ms", limits.first_token_ms);
    CheckNotZero(place_, "between_tokens_ms", limits.between_tokens_ms);
    CheckNotZero(place_, "max_output_tokens", limits.max_output_tokens);
    if (limits.retry_percent > kWholePercent) {
      place_.Add("retry_percent", "must be at most 100");
    }
  }

  void CheckLeaving() {
    const place_scope list(place_, std::string("leaving"));
    for (std::size_t i = 0; i < operators_.leaving.size(); ++i) {
      const std::string& name = operators_.leaving[i];
      if (std::find(backend_names_.begin(), backend_names_.end(), name) == backend_names_.end()) {
        const place_scope element(place_, i);
        place_.Add("'" + name + "' is not a backend server" + Suggestion(name, backend_names_));
      }
    }
  }

  const operator_settings& operators_;
  document_place place_;
  uniqueness_check pools_{"is already the name of another pool"};
  uniqueness_check backends_{"is already a backend server, here or in another pool"};
  uniqueness_check addresses_{"is already the address of another backend server's agent"};
  std::vector<std::string> pool_names_;
  std::vector<std::string> backend_names_;
  std::map<std::string, std::uint64_t> shares_;
};

}  // namespace

void CheckOperators(const operator_settings& operators, std::string_view place, findings& found) {
  operator_checker(operators, place, found).Run();
}

void FillDefaults(operator_settings& operators) {
  if (!operators.timing) {
    operators.timing = std::make_shared<timing_settings>();
  }
  if (!operators.limits) {
    operators.limits = std::make_shared<limit_settings>();
  }
}

}  // namespace jacinthspool
