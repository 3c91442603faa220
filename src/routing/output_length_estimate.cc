#include "jacinthspool/routing/output_length_estimate.h"

#include <algorithm>
#include <cmath>

namespace jacinthspool {
namespace {

/// Standard error of callers' expectations, as a logarithm, before any answer was recorded.
constexpr double kInitialError = 0.4;

double Log(std::uint64_t tokens) {
  return std::log(static_cast<double>(std::max<std::uint64_t>(tokens, 1)));
}

std::uint64_t TokensOf(double logarithm, std::uint64_t most) {
  return std::min(most, static_cast<std::uint64_t>(std::ceil(std::exp(logarithm))));
}

}  // namespace

void output_length_estimate::Learn(const std::string& service, std::uint64_t guessed,
                                   std::uint64_t produced) {
  if (guessed == 0 || produced == 0) {
    return;
  }
  const double x = Log(guessed);
  const double y = Log(produced);
  const double fade = 1 - 1 / settings_.averaging_answers;
  sums& seen = services_[service];
  seen = {.count = seen.count * fade + 1,
          .x = seen.x * fade + x,
          .y = seen.y * fade + y,
          .xx = seen.xx * fade + x * x,
          .xy = seen.xy * fade + x * y,
          .yy = seen.yy * fade + y * y};
}

output_length_estimate::estimate output_length_estimate::Estimate(const std::string& service,
                                                                  std::uint64_t guessed) const {
  const double x = Log(guessed);
  estimate made{.middle = x, .error = kInitialError};
  const auto found = services_.find(service);
  if (found != services_.end() && found->second.count > 2) {
    const sums& seen = found->second;
    const double mean_x = seen.x / seen.count;
    const double mean_y = seen.y / seen.count;
    const double var_x = std::max(seen.xx / seen.count - mean_x * mean_x, 1e-6);
    const double var_y = std::max(seen.yy / seen.count - mean_y * mean_y, 0.0);
    const double cov = seen.xy / seen.count - mean_x * mean_y;
    const double slope = std::clamp(cov / var_x, 0.0, 1.0);
    const double weight = seen.count / (seen.count + settings_.prior_answers);
    made.middle += weight * (mean_y + slope * (x - mean_x) - x);
    const double left = std::sqrt(std::max(var_y - slope * cov, 0.0));
    made.error += weight * (left - made.error);
  }
  return made;
}

std::uint64_t output_length_estimate::TokensToReserve(const std::string& service,
                                                      std::uint64_t guessed,
                                                      std::uint64_t most) const {
  const estimate made = Estimate(service, guessed);
  return TokensOf(made.middle + settings_.margin * made.error, most);
}

std::uint64_t output_length_estimate::ExpectedTokens(const std::string& service,
                                                     std::uint64_t guessed,
                                                     std::uint64_t most) const {
  return TokensOf(Estimate(service, guessed).middle, most);
}

}  // namespace jacinthspool
