#include "jacinthspool/routing/gateway_fleet.h"

#include <algorithm>

namespace jacinthspool {

void gateway_fleet::OnReport(const gateway_report& report) {
  gateway_report& known = reports_[report.name];
  if (known.name.empty() || report.made > known.made) {
    known = report;
  }
}

void gateway_fleet::Expire(instant now) {
  if (now - last_contact_ > settings_.contact_timeout) {
    return;
  }
  std::erase_if(reports_,
                [&](const auto& each) { return now - each.second.made > settings_.retention; });
}

std::uint32_t gateway_fleet::gateways() const {
  return std::max({gateways_, static_cast<std::uint32_t>(reports_.size()), 1U});
}

double gateway_fleet::RequestRate(const std::string& name, const std::string& service) const {
  const auto report = reports_.find(name);
  if (report == reports_.end()) {
    return 0;
  }
  const auto rate = report->second.request_rates.find(service);
  return rate == report->second.request_rates.end() ? 0 : rate->second;
}

}  // namespace jacinthspool
