#ifndef JACINTHSPOOL_ROUTING_LOAD_SHEDDER_H_
#define JACINTHSPOOL_ROUTING_LOAD_SHEDDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/service_order.h"

namespace jacinthspool {

/// \brief Rejects a share of the requests for a service whose answers are too slow.
///
/// When a plain service has lost servers or is overloaded, requests queue at its
/// servers and every answer is late. The rejected share is controlled by the
/// answers: it rises with each that takes most of its latency objective and falls
/// with each faster one, so that admitted requests are answered in time. Where requests
/// of several priorities or tenants arrive, the least urgent are rejected first, and
/// among equals those of the tenants that send most; none is admitted less often than
/// a part of the mean.
class load_shedder {
 public:
  struct options {
    double slow_share = 0.6;  ///< An answer is slow above this fraction of the objective.
    double rise = 0.05;       ///< Of the rejected share, per slow answer.
    double fall = 0.03;       ///< Of the rejected share, per timely answer.
    double min_share = 0.1;   ///< No request is rejected below this share.
    double max_share = 0.85;  ///< Some are always admitted, to detect the end of the overload.
    microseconds half_life = seconds(2);  ///< Of the rejected share, without answers.
    /// Part of the mean admitted share that every priority and every tenant gets.
    double guaranteed_part = 0.3;
    microseconds demand_half_life = seconds(4);  ///< Of the requests counted by priority.
  };

  explicit load_shedder(const options& settings) : settings_(settings) {}

  /// \param random Any random number.
  /// \returns false when the request is to be rejected.
  [[nodiscard]] bool Admit(const std::string& service, std::uint64_t random, instant now,
                           const service_claim& claim = {});

  /// \brief Records an answer.
  /// \param taken Time to the answer, queueing included.
  /// \param objective Latency objective of the route.
  void OnAnswer(const std::string& service, microseconds taken, microseconds objective,
                instant now);

  /// \brief Records that a server rejected a request because it was full.
  void OnFull(const std::string& service, instant now);

  /// \returns The share of requests that is rejected now.
  [[nodiscard]] double rejected_share(const std::string& service, instant now) const;

  /// \returns The share of such requests that is rejected now.
  [[nodiscard]] double rejected_share(const std::string& service, instant now,
                                      const service_claim& claim) const;

 private:
  struct share {
    double rejected = 0;
    instant updated{};
  };
  using tenant_demand = std::map<std::string, recent_amount>;
  void AdjustShare(const std::string& service, double by, instant now);

  options settings_;
  std::map<std::string, share> services_;
  /// Recent requests by service, priority and tenant.
  std::map<std::string, std::map<request_priority, tenant_demand>> demand_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_LOAD_SHEDDER_H_
