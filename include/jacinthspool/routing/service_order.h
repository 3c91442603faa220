#ifndef JACINTHSPOOL_ROUTING_SERVICE_ORDER_H_
#define JACINTHSPOOL_ROUTING_SERVICE_ORDER_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/tenants.h"

namespace jacinthspool {

/// \brief Whose a request is, where several compete.
struct service_claim {
  request_priority priority = {};
  std::string tenant = {};  ///< Empty: none.
  bool came_back = false;   ///< Its caller has been rejected before.

  /// \returns true when both have the same priority and tenant.
  [[nodiscard]] bool IsOfSameGroup(const service_claim& other) const {
    return priority == other.priority && tenant == other.tenant;
  }
};

/// Goes after all others.
inline constexpr request_priority kLeastUrgent = {
    .tenant = std::numeric_limits<std::uint32_t>::max(),
    .route = std::numeric_limits<std::uint32_t>::max()};

/// \brief How soon a waiting request is needed; the lowest goes first.
enum class request_urgency {
  kResumes,  ///< The caller already has part of the answer.
  kOnTime,   ///< It can still meet its latency objective.
  kLate,
};

/// \param on_time_until Started by then, it still meets its latency objective.
[[nodiscard]] constexpr request_urgency UrgencyOf(bool resumes, instant on_time_until,
                                                  instant now) {
  return resumes               ? request_urgency::kResumes
         : on_time_until < now ? request_urgency::kLate
                               : request_urgency::kOnTime;
}

/// \brief Amount that fades: of recent requests or grants.
class recent_amount {
 public:
  void Add(double amount, microseconds half_life, instant now);
  [[nodiscard]] double At(microseconds half_life, instant now) const;

 private:
  double amount_ = 0;
  instant updated_{};
};

/// \brief Decides who goes first among the requests that wait for the same thing.
///
/// When requests ask for more than there is, a few urgent ones wait behind many others, and a
/// tenant that sends much gets all the rest. Answers that have begun go first, then requests that
/// can be on time, then late ones; in each of these the priority decides, and between tenants of
/// one priority the amount that each was granted lately (start-time fair queueing). A priority or
/// tenant whose granted share of what it asked for falls below a part of the mean goes first until
/// it has that part. Requests of one priority and tenant keep the order of their arrival.
class service_order {
 public:
  struct options {
    /// Part of the mean granted share that every priority and every tenant gets.
    double guaranteed_part = 0.3;
    microseconds half_life = seconds(4);  ///< Of what was asked for and granted.
  };

  /// \brief A request that waits.
  struct waiting {
    std::uint64_t number = 0;  ///< In order of arrival.
    std::string_view service;
    const service_claim* claim = nullptr;
    request_urgency urgency = request_urgency::kOnTime;
    double amount = 1;  ///< Of what it waits for: tokens of memory, or one slot.
  };

  explicit service_order(const options& settings) : settings_(settings) {}

  /// \brief Records a request, whether it then waits or is rejected.
  void OnAsked(std::string_view service, const service_claim& claim, double amount, instant now);
  void OnGranted(std::string_view service, const service_claim& claim, double amount, instant now);

  /// \returns The requests, the first to be served at the front.
  [[nodiscard]] std::vector<waiting> Sort(std::vector<waiting> requests, instant now) const;

 private:
  struct demand {
    recent_amount asked;
    recent_amount granted;
  };
  /// Virtual time of the tenants of one priority.
  struct fair_share {
    double time = 0;                                      ///< Start of the last grant.
    std::map<std::string, double, std::less<>> finished;  ///< By tenant; none: `time`.

    [[nodiscard]] double StartOf(std::string_view tenant) const;
  };
  struct service_state {
    demand total;
    std::map<request_priority, demand> by_priority;
    std::map<std::string, demand, std::less<>> by_tenant;
    std::map<request_priority, fair_share> shares;
  };

  /// \returns What the group still lacks of its guaranteed part.
  [[nodiscard]] double OwedTo(const demand& group, const service_state& state, instant now) const;
  void Forget(service_state& state, instant now) const;

  options settings_;
  std::map<std::string, service_state, std::less<>> services_ = {};
};

/// \brief Spreads the returns of rejected callers, those of higher priority first.
class return_times {
 public:
  struct request {
    std::string service = {};
    request_priority priority = {};
    instant earliest{};       ///< When those that wait have been served.
    microseconds interval{};  ///< Between two returns.
    instant latest{};
  };

  [[nodiscard]] instant Reserve(const request& asked);

 private:
  std::map<std::string, std::map<request_priority, instant>> last_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_SERVICE_ORDER_H_
