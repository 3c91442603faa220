#ifndef JACINTHSPOOL_BENCH_EXPERIMENT_ARRIVALS_H_
#define JACINTHSPOOL_BENCH_EXPERIMENT_ARRIVALS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool::bench {

/// \brief What a caller wants.
enum class request_kind { kDigest, kReply, kLookup, kOrder };

/// \brief One request of the plan; all of it is fixed before the run starts.
struct planned_request {
  microseconds at{};  ///< From the start of the run.
  request_kind kind = request_kind::kDigest;
  std::string team;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t workspace = 0;               ///< Requests of one workspace share a prompt head.
  std::optional<microseconds> leaves_after;  ///< The caller goes this long after it asked.
};

struct plan_options {
  std::uint64_t seed = 1;
  microseconds length = seconds(20);
  double requests_per_s = 10;
  double ramp = 1;              ///< The rate grows to this multiple until the end.
  double leaving_share = 0.02;  ///< Callers that go before their answer is whole.
  double turnevo_share = 0.4;
  double call_share = 0.1;  ///< Calls of plain services, over all requests.
  std::uint32_t max_prompt_tokens = 30000;
};

/// \brief Draws an open-loop Poisson plan of the two teams' mixes.
std::vector<planned_request> MakePlan(const plan_options& options);

/// \brief Mean work of one completion of the mix, for the capacity of a fleet.
struct mean_work {
  double prompt_tokens = 0;
  double output_tokens = 0;
  double pieces = 0;
  double held_seconds = 0;  ///< Pieces times the time that they are held.
};

/// \param piece_tokens Size of a piece of engine memory.
/// \param token_time Time between two tokens.
mean_work MeanWork(const std::vector<planned_request>& plan, std::uint32_t piece_tokens,
                   microseconds token_time);

std::string NameOf(request_kind kind);

}  // namespace jacinthspool::bench

#endif  // JACINTHSPOOL_BENCH_EXPERIMENT_ARRIVALS_H_
