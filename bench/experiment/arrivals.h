#ifndef JACINTHSPOOL_BENCH_EXPERIMENT_ARRIVALS_H_
#define JACINTHSPOOL_BENCH_EXPERIMENT_ARRIVALS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool::bench {

/// \brief The kinds of request; kOrder is a service call, the others are completions.
enum class request_kind { kDigest, kReply, kLookup, kOrder };

/// \brief One request of a plan; all its values are fixed before the run starts.
struct planned_request {
  microseconds at{};  ///< Send time, from the start of the run.
  request_kind kind = request_kind::kDigest;
  std::string team;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t workspace = 0;  ///< Requests of one workspace share a prompt prefix.
  std::optional<microseconds>
      disconnects_after;  ///< The caller disconnects this long after sending.
};

struct plan_options {
  std::uint64_t seed = 1;
  microseconds length = seconds(20);
  double requests_per_s = 10;
  double ramp = 1;                 ///< The rate grows linearly to this multiple at the end.
  double disconnect_share = 0.02;  ///< Share of completions whose callers disconnect early.
  double turnevo_share = 0.4;
  double call_share = 0.1;  ///< Share of service calls among all requests.
  std::uint32_t max_prompt_tokens = 30000;
};

/// \brief Generates an open-loop plan with Poisson arrivals and the request mixes of two teams.
std::vector<planned_request> MakePlan(const plan_options& options);

/// \brief Mean work of one completion of a plan, from which the capacity of a fleet follows.
struct mean_work {
  double prompt_tokens = 0;
  double output_tokens = 0;
  double pieces = 0;
  double held_piece_seconds = 0;  ///< Pieces times the seconds for which they are held.
};

/// \param piece_tokens Size of a piece of engine memory, in tokens.
/// \param token_time Time between two tokens.
mean_work MeanWork(const std::vector<planned_request>& plan, std::uint32_t piece_tokens,
                   microseconds token_time);

std::string NameOf(request_kind kind);

}  // namespace jacinthspool::bench

#endif  // JACINTHSPOOL_BENCH_EXPERIMENT_ARRIVALS_H_
