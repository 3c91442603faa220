#ifndef JACINTHSPOOL_ROUTING_REQUEST_RATE_METER_H_
#define JACINTHSPOOL_ROUTING_REQUEST_RATE_METER_H_

#include <cmath>
#include <map>
#include <string>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Recent rate of the callers' requests at this process, by service.
class request_rate_meter {
 public:
  struct options {
    microseconds time_constant = seconds(3);  ///< Of the exponentially weighted mean.
  };

  explicit request_rate_meter(const options& settings) : settings_(settings) {}

  void OnRequest(const std::string& service, instant now) {
    const double rate = Faded(services_[service], now);
    services_[service] = {.per_second = rate + 1 / Seconds(settings_.time_constant), .at = now};
  }

  /// \returns Requests a second, by service.
  [[nodiscard]] std::map<std::string, double> Rates(instant now) const {
    std::map<std::string, double> rates;
    for (const auto& [service, rate] : services_) {
      rates[service] = Faded(rate, now);
    }
    return rates;
  }

 private:
  struct mean_rate {
    double per_second = 0;
    instant at{};
  };
  static double Seconds(microseconds time) { return std::chrono::duration<double>(time).count(); }
  [[nodiscard]] double Faded(const mean_rate& rate, instant now) const {
    return rate.per_second * std::exp(-Seconds(now - rate.at) / Seconds(settings_.time_constant));
  }

  options settings_;
  std::map<std::string, mean_rate> services_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_REQUEST_RATE_METER_H_
