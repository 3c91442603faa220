#ifndef JACINTHSPOOL_ROUTING_GATEWAY_FLEET_H_
#define JACINTHSPOOL_ROUTING_GATEWAY_FLEET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief What one gateway reports about its callers.
struct gateway_report {
  std::string name = {};
  std::map<std::string, double> request_rates = {};  ///< Callers' requests a second, by service.
  instant made{};                                    ///< On the clock of this process.
};

/// \brief The gateways that share the request limits of backend servers, as far as known.
///
/// A gateway that is no longer heard from may only be cut off, and still send
/// requests. Its report is therefore kept for a while, and for as long as this
/// process itself hears from no other gateway.
class gateway_fleet {
 public:
  struct options {
    microseconds retention = seconds(30);        ///< Of a report without a newer one.
    microseconds contact_timeout = seconds(10);  ///< Without an answer this process is cut off.
  };

  explicit gateway_fleet(const options& settings) : settings_(settings) {}

  /// \brief Keeps the report if it is the newest of its gateway.
  void OnReport(const gateway_report& report);

  /// \brief Called when another gateway has answered this process.
  void OnContact(instant now) { last_contact_ = now; }

  /// \brief Sets the number of gateways, which may exceed that of the known reports.
  void SetGateways(std::uint32_t gateways) { gateways_ = gateways; }

  void Expire(instant now);

  [[nodiscard]] const std::map<std::string, gateway_report>& reports() const { return reports_; }

  /// \returns The number of gateways, at least 1 and the number of reports.
  [[nodiscard]] std::uint32_t gateways() const;

  /// \returns The request rate that the gateway reports for the service, in requests a second.
  [[nodiscard]] double RequestRate(const std::string& name, const std::string& service) const;

 private:
  options settings_;
  std::map<std::string, gateway_report> reports_;  ///< By name.
  std::uint32_t gateways_ = 1;
  instant last_contact_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_GATEWAY_FLEET_H_
