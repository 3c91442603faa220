#include "jacinthspool/routing/prefill_share_estimate.h"

#include <algorithm>
#include <cmath>

namespace jacinthspool {
namespace {

/// \brief Counts a value of a moving average.
/// \returns The weight of the newest value.
double CountAndWeigh(double& count, double most) {
  count = std::min(count + 1, most);
  return 1 / count;
}

}  // namespace

void prefill_share_estimate::OnRequest(const std::string& service, std::uint64_t prompt_tokens,
                                       double reserved_tokens,
                                       std::uint64_t expected_output_tokens) {
  averages& known = services_[service];
  const double weight = CountAndWeigh(known.requests, settings_.averaging_requests);
  const auto learn = [&](double& mean, double value) { mean += weight * (value - mean); };
  learn(known.prompt_tokens, static_cast<double>(prompt_tokens));
  learn(known.reserved_tokens, reserved_tokens);
  learn(known.reserved_output, reserved_tokens * static_cast<double>(expected_output_tokens));
}

void prefill_share_estimate::OnOutput(const std::string& service, std::uint64_t tokens,
                                      microseconds taken) {
  if (tokens == 0 || taken <= microseconds(0)) {
    return;
  }
  averages& known = services_[service];
  const double weight = CountAndWeigh(known.streams, settings_.averaging_requests);
  const double each = static_cast<double>(taken.count()) / static_cast<double>(tokens);
  known.token_time_us += weight * (each - known.token_time_us);
}

std::optional<double> prefill_share_estimate::PrefillShare(const std::string& service,
                                                           double engine_tokens,
                                                           double prefill_rate) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.requests < settings_.min_requests ||
      prefill_rate <= 0 || engine_tokens <= 0) {
    return std::nullopt;
  }
  const averages& known = found->second;
  const double token_time = known.token_time_us > 0
                                ? known.token_time_us
                                : static_cast<double>(settings_.default_token_time.count());
  const double prefill_time = known.prompt_tokens / prefill_rate;
  // Memory use of a request in token-microseconds, from its reservation to its end.
  const double occupancy =
      known.reserved_output * token_time + known.reserved_tokens * prefill_time;
  if (occupancy <= 0) {
    return std::nullopt;
  }
  const double prefill_for_each_decode =
      engine_tokens / occupancy * prefill_time / settings_.prefill_utilisation;
  return prefill_for_each_decode / (1 + prefill_for_each_decode);
}

}  // namespace jacinthspool
