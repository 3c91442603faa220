#include "bench/experiment/arrivals.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace jacinthspool::bench {
namespace {

constexpr std::uint32_t kWorkspaces = 50;

/// Prompt and output sizes of one kind of completion, in tokens.
struct size_mix {
  double median_prompt;
  double prompt_sigma;  ///< Standard deviation of the logarithm of the size.
  double min_output;
  double max_output;
};

size_mix MixOf(request_kind kind) {
  switch (kind) {
    case request_kind::kDigest:
      return {.median_prompt = 3000, .prompt_sigma = 0.8, .min_output = 20, .max_output = 60};
    case request_kind::kReply:
      return {.median_prompt = 1200, .prompt_sigma = 0.8, .min_output = 15, .max_output = 60};
    default:
      return {.median_prompt = 60, .prompt_sigma = 0.5, .min_output = 8, .max_output = 16};
  }
}

microseconds FromSeconds(double value) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return microseconds(static_cast<microseconds::rep>(value * kMicrosecondsPerSecond));
}

double Uniform(std::mt19937_64& random, double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random);
}

request_kind DrawKind(const plan_options& options, bool turnevo, std::mt19937_64& random) {
  if (Uniform(random, 0, 1) < options.call_share) {
    return request_kind::kOrder;
  }
  constexpr double kLookupShare = 0.3;
  const bool lookup = !turnevo && Uniform(random, 0, 1) < kLookupShare;
  if (lookup) {
    return request_kind::kLookup;
  }
  return turnevo ? request_kind::kDigest : request_kind::kReply;
}

void DrawSizes(planned_request& request, const plan_options& options, std::mt19937_64& random) {
  const size_mix mix = MixOf(request.kind);
  const double prompt =
      std::lognormal_distribution<double>(std::log(mix.median_prompt), mix.prompt_sigma)(random);
  const double max_prompt = options.max_prompt_tokens;
  constexpr double kMinPromptTokens = 10;
  request.prompt_tokens =
      static_cast<std::uint32_t>(std::clamp(prompt, kMinPromptTokens, max_prompt));
  request.output_tokens =
      static_cast<std::uint32_t>(Uniform(random, mix.min_output, mix.max_output));
}

planned_request Draw(const plan_options& options, microseconds at, std::mt19937_64& random) {
  planned_request request;
  request.at = at;
  const bool turnevo = Uniform(random, 0, 1) < options.turnevo_share;
  request.team = turnevo ? "turnevo" : "lumanara";
  request.kind = DrawKind(options, turnevo, random);
  request.workspace = static_cast<std::uint32_t>(Uniform(random, 0, kWorkspaces));
  if (request.kind == request_kind::kOrder) {
    return request;
  }
  DrawSizes(request, options, random);
  if (Uniform(random, 0, 1) < options.disconnect_share) {
    request.disconnects_after = FromSeconds(Uniform(random, 0, 1));
  }
  return request;
}

}  // namespace

std::vector<planned_request> MakePlan(const plan_options& options) {
  std::mt19937_64 random(options.seed);
  std::vector<planned_request> plan;
  const double length = std::chrono::duration<double>(options.length).count();
  for (double at = 0; at < length;) {
    const double rate = options.requests_per_s * (1 + (options.ramp - 1) * at / length);
    at += std::exponential_distribution<double>(rate)(random);
    if (at < length) {
      plan.push_back(Draw(options, FromSeconds(at), random));
    }
  }
  return plan;
}

mean_work MeanWork(const std::vector<planned_request>& plan, std::uint32_t piece_tokens,
                   microseconds token_time) {
  mean_work mean;
  double completions = 0;
  const double token_seconds = std::chrono::duration<double>(token_time).count();
  for (const planned_request& request : plan) {
    if (request.kind == request_kind::kOrder) {
      continue;
    }
    ++completions;
    const double tokens = request.prompt_tokens + request.output_tokens;
    const double pieces = std::ceil(tokens / piece_tokens);
    mean.prompt_tokens += request.prompt_tokens;
    mean.output_tokens += request.output_tokens;
    mean.pieces += pieces;
    mean.held_piece_seconds += pieces * request.output_tokens * token_seconds;
  }
  const double count = std::max(completions, 1.0);
  mean.prompt_tokens /= count;
  mean.output_tokens /= count;
  mean.pieces /= count;
  mean.held_piece_seconds /= count;
  return mean;
}

std::string NameOf(request_kind kind) {
  switch (kind) {
    case request_kind::kDigest:
      return "digest";
    case request_kind::kReply:
      return "reply";
    case request_kind::kLookup:
      return "lookup";
    default:
      return "order";
  }
}

}  // namespace jacinthspool::bench
