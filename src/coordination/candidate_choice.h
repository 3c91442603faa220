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
/// \brief Which backend servers are asked for a quote.

namespace jacinthspool::entry_detail {

/// \brief What the entry knows of one agent.
struct agent_view {
  bool up = false;
  incarnation_id incarnation = 0;
  std::optional<instant> down_at;
  agent_load load;
  std::uint32_t ordered_since_load = 0;  ///< Own grants that the load does not show yet.
  std::set<request_id> users;            ///< Requests with a part or an open quote here.
  std::set<attempt_id> uncancelled;      ///< Replaced attempts whose cancel is not confirmed.
};
using agent_views = std::map<std::string, agent_view>;

/// \brief Turns of the round robin, by pool.
using turn_counters = std::map<std::string, std::uint64_t>;

struct candidate_query {
  const entry_policy& policy;
  const pool_view& pool;
  const agent_views& agents;
  const entry_request& request;
  work_kind kind = work_kind::kDecode;
  std::string data_centre;  ///< Members there are preferred.
  turn_counters& turns;
};

/// \brief Members to ask next, the most promising first.
/// \returns Nothing when no member is left that is up, stays and was not asked yet.
[[nodiscard]] std::vector<std::string> ChooseCandidates(const candidate_query& query);

/// \returns The shortest predicted wait in a pool, zero when nothing is known.
[[nodiscard]] microseconds ShortestWait(const pool_view& pool, const agent_views& agents);

/// \returns The time that the prompt's KV cache takes over a link.
[[nodiscard]] microseconds TransferTime(const pool_view& pool, std::uint32_t prompt_tokens);

/// \returns The time that a prefill takes without a cached prefix.
[[nodiscard]] microseconds PrefillTime(const pool_view& pool, std::uint32_t prompt_tokens);

/// \returns Pieces of engine memory for that many tokens, at least one.
[[nodiscard]] std::uint32_t PiecesFor(const pool_view& pool, std::uint64_t tokens);

}  // namespace jacinthspool::entry_detail

#endif  // JACINTHSPOOL_COORDINATION_CANDIDATE_CHOICE_H_
