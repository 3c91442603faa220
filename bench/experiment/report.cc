#include "bench/experiment/report.h"

#include <algorithm>
#include <cmath>

namespace jacinthspool::bench {
namespace {

double Milliseconds(microseconds value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

double Rounded(double value) {
  constexpr double kDecimals = 1000;
  return std::round(value * kDecimals) / kDecimals;
}

nlohmann::json Percentiles(std::vector<double> values) {
  if (values.empty()) {
    return nullptr;
  }
  std::sort(values.begin(), values.end());
  const auto at = [&values](double share) {
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return Rounded(values[index]);
  };
  return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}};
}

std::string OutcomeOf(const request_result& result) {
  if (result.left) {
    return "caller left";
  }
  if (result.whole) {
    return "whole";
  }
  return std::to_string(result.status) + " " +
         (result.error_type.empty() ? "cut" : result.error_type);
}

}  // namespace

void report::Add(const request_result& result) { results_.push_back(result); }

nlohmann::json report::SummaryOf(const std::string& team) const {
  std::map<std::string, std::uint64_t> outcomes;
  std::vector<double> first;
  std::vector<double> gaps;
  std::vector<double> retry_after;
  std::uint64_t good = 0;
  std::uint64_t asked = 0;
  for (const request_result& result : results_) {
    if (!team.empty() && result.plan.team != team) {
      continue;
    }
    ++asked;
    ++outcomes[OutcomeOf(result)];
    good += result.InTargets(options_.first_target, options_.gap_target) ? 1 : 0;
    if (result.retry_after_s > 0) {
      retry_after.push_back(result.retry_after_s);
    }
    if (result.whole && result.plan.kind != request_kind::kOrder) {
      first.push_back(Milliseconds(result.first_token));
      gaps.push_back(Milliseconds(result.mean_gap));
    }
  }
  const double length = std::chrono::duration<double>(options_.length).count();
  return {{"asked", asked},
          {"in_targets", good},
          {"goodput_per_s", Rounded(static_cast<double>(good) / length)},
          {"outcomes", outcomes},
          {"first_token_ms", Percentiles(first)},
          {"between_tokens_ms", Percentiles(gaps)},
          {"retry_after_s", Percentiles(retry_after)}};
}

nlohmann::json report::Summary(std::uint64_t prefill_tokens) const {
  nlohmann::json summary = SummaryOf("");
  for (const char* team : {"turnevo", "lumanara"}) {
    summary["teams"][team] = SummaryOf(team);
  }
  double useful = 0;
  double left = 0;
  for (const request_result& result : results_) {
    useful += result.whole ? result.plan.prompt_tokens : 0;
    left += result.left ? result.plan.prompt_tokens : 0;
  }
  const auto computed = static_cast<double>(std::max<std::uint64_t>(prefill_tokens, 1));
  const double wasted = std::max(0.0, computed - useful);
  summary["prefill_tokens"] = prefill_tokens;
  summary["wasted_prefill_share"] = Rounded(wasted / computed);
  // The counters do not distinguish waste from work for callers that disconnected early.
  summary["left_prompt_share"] = Rounded(left / computed);
  return summary;
}

}  // namespace jacinthspool::bench
