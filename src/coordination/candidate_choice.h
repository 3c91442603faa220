#ifndef JACINTHSPOOL_COORDINATION_CANDIDATE_CHOICE_H_
#define JACINTHSPOOL_COORDINATION_CANDIDATE_CHOICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jacinthspool/impl/entry_core.h"
#include "src/coordination/entry_request.h"

/// \file
/// \brief Selection of the backend servers to request quotes from.

namespace jacinthspool::entry_detail {

/// \brief State of one agent as known to the entry.
struct agent_view {
  bool up = false;
  incarnation_id incarnation = 0;
  std::optional<instant> down_at;
  agent_load load;
  std::uint32_t ordered_since_load = 0;  ///< Own grants since the latest load report.
  std::set<request_id> users;            ///< Requests with a part or a pending quote here.
  std::set<attempt_id> pending_cancels;  ///< Attempts whose cancel is unconfirmed.
};
using agent_views = std::map<std::string, agent_view>;

/// \brief Round-robin counters by pool.
using turn_counters = std::map<std::string, std::uint64_t>;

struct candidate_query {
  const entry_policy& policy;
  const pool_view& pool;
  const agent_views& agents;
  const entry_request& request;
  work_kind kind = work_kind::kDecode;
  std::string data_centre;  ///< Its members are preferred.
  turn_counters& round_robin_turns;
};

/// \brief Chooses the members to request quotes from next, best first.
/// \returns An empty list when every member is down, draining or was already queried.
[[nodiscard]] std::vector<std::string> ChooseCandidates(const candidate_query& query);

/// \returns The shortest predicted queueing time in a pool; zero when none is known.
[[nodiscard]] microseconds ShortestWait(const pool_view& pool, const agent_views& agents);

/// \returns The predicted transfer time of the prompt's KV cache.
[[nodiscard]] microseconds TransferTime(const pool_view& pool, std::uint32_t prompt_tokens);

/// \returns The predicted prefill time without a cached prefix.
[[nodiscard]] microseconds PrefillTime(const pool_view& pool, std::uint32_t prompt_tokens);

/// \returns The number of pieces of engine memory for that many tokens, at least one.
[[nodiscard]] std::uint32_t PiecesFor(const pool_view& pool, std::uint64_t tokens);

}  // namespace jacinthspool::entry_detail

#endif  // JACINTHSPOOL_COORDINATION_CANDIDATE_CHOICE_H_
