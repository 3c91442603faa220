#include "jacinthspool/routing/limit_share.h"

#include <algorithm>
#include <map>
#include <vector>

#include "jacinthspool/impl/overloaded.h"
#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

/// Fraction of a limit that is used; the rest absorbs differences between the gateways' views.
constexpr double kUsedShare = 0.95;
/// A server that accepts next to nothing still gets this rate, so that the end of its limit is
/// noticed.
constexpr double kMinPerSecond = 0.2;
/// Bursts of all gateways together: this part of the limit, for a second, and a constant.
constexpr double kBurstPerLimit = 1.5;
constexpr double kBurstConstant = 3;
/// A gateway with less than this fraction of the mean request rate is not selected to send.
constexpr double kMinSenderRate = 0.25;

/// Weight of each known gateway; the weights of the unknown ones are 1, the mean.
std::map<std::string, double> Weights(const split_strategy& strategy, const gateway_fleet& fleet,
                                      const std::string& service) {
  double total = 0;
  for (const auto& [name, report] : fleet.reports()) {
    total += fleet.RequestRate(name, service);
  }
  const double mean =
      fleet.reports().empty() ? 0 : total / static_cast<double>(fleet.reports().size());
  std::map<std::string, double> weights;
  for (const auto& [name, report] : fleet.reports()) {
    const double relative = mean > 0 ? fleet.RequestRate(name, service) / mean : 1;
    weights[name] = std::visit(overloaded{[](const equal_split&) { return 1.0; },
                                          [&](const traffic_split& by_traffic) {
                                            return by_traffic.equal_part +
                                                   (1 - by_traffic.equal_part) * relative;
                                          }},
                               strategy);
  }
  return weights;
}

/// \returns The known gateways that send, `most` of them at most.
std::vector<std::string> SelectSenders(const std::map<std::string, double>& weights,
                                       const std::string& backend, std::size_t most) {
  std::vector<std::string> candidates;
  for (const auto& [name, weight] : weights) {
    if (weight >= kMinSenderRate) {
      candidates.push_back(name);
    }
  }
  std::vector<std::string> senders;
  for (const std::size_t index : RendezvousOrder(HashKey(backend), candidates)) {
    if (senders.size() < most) {
      senders.push_back(candidates[index]);
    }
  }
  return senders;
}

}  // namespace

limit_share ShareOfLimit(const split_strategy& strategy, const gateway_fleet& fleet,
                         const limit_split_request& request) {
  const double usable = kUsedShare * std::max(request.per_second, kMinPerSecond);
  const double bursts = kBurstPerLimit * request.per_second + kBurstConstant;
  const auto calls = static_cast<double>(request.calls);
  const auto most = static_cast<std::uint32_t>(std::max(1.0, bursts / calls));
  const std::map<std::string, double> weights = Weights(strategy, fleet, request.service);
  const auto known = static_cast<double>(weights.size());
  const auto all = static_cast<double>(fleet.gateways());
  const auto own = weights.find(request.gateway);
  if (own == weights.end()) {
    return {};
  }
  double fraction = 0;
  std::uint32_t senders = fleet.gateways();
  if (senders <= most) {
    double total = all - known;
    for (const auto& [name, weight] : weights) {
      total += weight;
    }
    fraction = own->second / total;
  } else {
    // Unknown gateways select among themselves in proportion to their number.
    const auto selected =
        SelectSenders(weights, request.backend,
                      static_cast<std::size_t>(static_cast<double>(most) * known / all));
    if (std::find(selected.begin(), selected.end(), request.gateway) == selected.end()) {
      return {.senders = most};
    }
    double total = 0;
    for (const std::string& name : selected) {
      total += weights.at(name);
    }
    fraction = own->second / total * known / all;
    senders = most;
  }
  const double spare = std::max(0.0, bursts - static_cast<double>(senders) * calls);
  return {.per_second = fraction * usable, .burst = calls + fraction * spare, .senders = senders};
}

}  // namespace jacinthspool
