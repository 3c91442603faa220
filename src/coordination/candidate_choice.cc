#include "src/coordination/candidate_choice.h"

#include <algorithm>
#include <limits>

#include "jacinthspool/impl/rendezvous.h"
#include "src/coordination/from_seconds.h"

namespace jacinthspool::entry_detail {
namespace {

/// Cost of a member in another data centre.
constexpr microseconds kRemoteCost = milliseconds(25);
/// Cost of a member with full memory compared with an empty one.
constexpr microseconds kOccupancyCost = milliseconds(20);
/// Cost of a member that failed this request earlier.
constexpr microseconds kEarlierFailureCost = seconds(10);
/// Affinity applies to members whose cost is at most this multiple of the mean, plus the slack.
constexpr double kBoundedLoad = 1.25;
constexpr microseconds kBoundedLoadSlack = milliseconds(10);

struct rated_member {
  std::string backend;
  microseconds cost{};
  std::uint64_t weight = 0;  ///< Rendezvous weight for the key of the request.
};

bool IsAvailable(const candidate_query& query, const std::string& backend) {
  const auto found = query.agents.find(backend);
  if (found == query.agents.end() || query.request.HasQueried(query.kind, backend)) {
    return false;
  }
  const agent_view& agent = found->second;
  return agent.up && !agent.load.leaving && agent.load.backend_up;
}

double Occupancy(const agent_view& agent) {
  if (agent.load.pieces_total == 0) {
    return 0;
  }
  const double taken = static_cast<double>(agent.load.pieces_held) +
                       static_cast<double>(agent.load.pieces_granted) +
                       static_cast<double>(agent.ordered_since_load);
  return std::min(1.0, taken / static_cast<double>(agent.load.pieces_total));
}

microseconds UnreportedWork(const candidate_query& query, const agent_view& agent) {
  if (query.kind != work_kind::kPrefill) {
    return microseconds::zero();
  }
  return PrefillTime(query.pool, query.request.submitted.prompt_tokens) * agent.ordered_since_load;
}

microseconds CostOf(const candidate_query& query, const pool_member& member) {
  const agent_view& agent = query.agents.at(member.backend);
  microseconds cost = agent.load.queue_wait + UnreportedWork(query, agent);
  cost += microseconds(static_cast<microseconds::rep>(Occupancy(agent) *
                                                      static_cast<double>(kOccupancyCost.count())));
  if (member.data_centre != query.data_centre) {
    cost += kRemoteCost;
  }
  if (query.request.HasFailedAt(member.backend)) {
    cost += kEarlierFailureCost;
  }
  return cost;
}

std::uint64_t RequestKey(const request_id& id) { return std::hash<request_id>{}(id); }

std::vector<rated_member> RatedMembers(const candidate_query& query, std::uint64_t key) {
  std::vector<rated_member> rated;
  for (const pool_member& member : query.pool.members) {
    if (IsAvailable(query, member.backend)) {
      rated.push_back({.backend = member.backend,
                       .cost = CostOf(query, member),
                       .weight = RendezvousWeight(key, member.backend)});
    }
  }
  return rated;
}

std::vector<std::string> FirstOf(const std::vector<rated_member>& rated, std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < std::min(count, rated.size()); ++i) {
    names.push_back(rated[i].backend);
  }
  return names;
}

void SortByCost(std::vector<rated_member>& rated) {
  std::sort(rated.begin(), rated.end(), [](const rated_member& left, const rated_member& right) {
    return left.cost != right.cost ? left.cost < right.cost : left.weight > right.weight;
  });
}

/// Sorts the members within the load bound first, by descending weight.
void SortByAffinity(std::vector<rated_member>& rated) {
  if (rated.empty()) {
    return;
  }
  microseconds sum{};
  for (const rated_member& member : rated) {
    sum += std::min(member.cost, kEarlierFailureCost);
  }
  const double mean = static_cast<double>(sum.count()) / static_cast<double>(rated.size());
  const microseconds bound =
      microseconds(static_cast<microseconds::rep>(mean * kBoundedLoad)) + kBoundedLoadSlack;
  std::sort(rated.begin(), rated.end(),
            [bound](const rated_member& left, const rated_member& right) {
              const bool left_within = left.cost <= bound;
              const bool right_within = right.cost <= bound;
              if (left_within != right_within) {
                return left_within;
              }
              return left_within ? left.weight > right.weight : left.cost < right.cost;
            });
}

std::vector<std::string> ByQuote(const candidate_query& query, std::size_t count, bool affinity) {
  const std::vector<std::uint64_t>& prefix = query.request.submitted.prefix_hashes;
  const bool by_prefix = affinity && query.kind == work_kind::kPrefill && !prefix.empty();
  std::vector<rated_member> rated =
      RatedMembers(query, by_prefix ? prefix.front() : RequestKey(query.request.submitted.id));
  if (by_prefix) {
    SortByAffinity(rated);
  } else {
    SortByCost(rated);
  }
  return FirstOf(rated, count);
}

/// Chooses candidates by the current routing policy.
struct chooser {
  const candidate_query& query;

  std::vector<std::string> operator()(const reservation_first_policy& policy) const {
    return ByQuote(query, std::max(1U, policy.candidates), policy.affinity);
  }
  std::vector<std::string> operator()(const prefill_first_policy& /*policy*/) const {
    constexpr std::size_t kCandidates = 2;
    return ByQuote(query, kCandidates, true);
  }
  std::vector<std::string> operator()(const least_load_policy& /*policy*/) const {
    return ByQuote(query, 1, false);
  }
  std::vector<std::string> operator()(const entry_queue_policy& /*policy*/) const {
    return ByQuote(query, 1, false);
  }
  std::vector<std::string> operator()(const round_robin_policy& /*policy*/) const {
    const std::vector<pool_member>& members = query.pool.members;
    for (std::size_t passed = 0; passed < members.size(); ++passed) {
      const std::uint64_t turn = query.round_robin_turns[query.pool.name]++;
      const std::string& backend = members[turn % members.size()].backend;
      if (IsAvailable(query, backend)) {
        return {backend};
      }
    }
    return {};
  }
};

/// A call with an idempotency key is sent only to the key's home among all published members.
/// No other member would detect a duplicate.
std::vector<std::string> HomeCandidate(const candidate_query& query) {
  std::vector<std::string> names;
  for (const pool_member& member : query.pool.members) {
    names.push_back(member.backend);
  }
  const caller_request& submitted = query.request.submitted;
  const auto home = HomeOf(IdempotencyKeyHash(submitted.team, submitted.idempotency_key), names);
  if (!home.has_value() || !IsAvailable(query, names[*home])) {
    return {};
  }
  return {names[*home]};
}

}  // namespace

std::vector<std::string> ChooseCandidates(const candidate_query& query) {
  if (query.kind == work_kind::kCall && !query.request.submitted.idempotency_key.empty()) {
    return HomeCandidate(query);
  }
  return std::visit(chooser{query}, query.policy.routing);
}

microseconds ShortestWait(const pool_view& pool, const agent_views& agents) {
  std::optional<microseconds> shortest;
  for (const pool_member& member : pool.members) {
    const auto found = agents.find(member.backend);
    if (found == agents.end() || !found->second.up || found->second.load.leaving) {
      continue;
    }
    const microseconds wait = found->second.load.queue_wait;
    shortest = std::min(shortest.value_or(wait), wait);
  }
  return shortest.value_or(microseconds::zero());
}

microseconds TransferTime(const pool_view& pool, std::uint32_t prompt_tokens) {
  const double bytes = pool.kv_bytes_per_token * static_cast<double>(prompt_tokens);
  return pool.link_bytes_per_s > 0 ? FromSeconds(bytes / pool.link_bytes_per_s)
                                   : microseconds::zero();
}

microseconds PrefillTime(const pool_view& pool, std::uint32_t prompt_tokens) {
  return pool.prefill_tokens_per_s > 0
             ? FromSeconds(static_cast<double>(prompt_tokens) / pool.prefill_tokens_per_s)
             : microseconds::zero();
}

std::uint32_t PiecesFor(const pool_view& pool, std::uint64_t tokens) {
  const std::uint64_t size = std::max<std::uint64_t>(1, pool.piece_tokens);
  const std::uint64_t pieces = std::max<std::uint64_t>(1, (tokens + size - 1) / size);
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(pieces, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace jacinthspool::entry_detail
