#ifndef JACINTHSPOOL_ROUTING_SLOT_QUEUE_H_
#define JACINTHSPOOL_ROUTING_SLOT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/service_order.h"

namespace jacinthspool {

/// \brief A request that waits until a limited backend server may be sent another one.
struct slot_request {
  std::string service = {};
  service_claim claim = {};
  bool resumes = false;              ///< The caller already has part of the answer.
  instant on_time_until{};           ///< Sent by then, it still meets its latency objective.
  instant latest_start{};            ///< Sent later, it is of no use to its caller.
  std::set<std::string> tried = {};  ///< Backend servers that it is not sent to.
  bool repeatable = true;            ///< As in `placement`.
  std::optional<std::string> software = {};  ///< As in `placement`.
  instant enqueued{};
};

/// \brief Rate at which requests may be sent to the limited servers of a service.
struct slot_pace {
  instant next{};         ///< Time of the next slot.
  double per_second = 0;  ///< Of the slots after it.
};

/// \brief Queue of the requests of services whose servers all have reached their request limits.
///
/// `service_order` decides who goes first. What cannot get a slot in time at the
/// present pace is rejected at once, also when it is displaced by a more urgent
/// request after it has waited.
class slot_queue {
 public:
  struct options {
    microseconds max_return = seconds(4);  ///< A rejected caller is told to return within this.
  };

  explicit slot_queue(const options& settings) : settings_(settings) {}

  /// \returns The number of the request, above 0.
  std::uint64_t Add(slot_request request);
  void Remove(std::uint64_t number) { requests_.erase(number); }
  /// \brief Removes a request that has got its slot.
  void OnSent(std::uint64_t number, instant now);

  /// \returns The request that gets the next slot of the service, or nothing.
  [[nodiscard]] std::optional<std::uint64_t> Next(std::string_view service, instant now) const;

  /// \returns The numbers of the service's requests, the most urgent first.
  [[nodiscard]] std::vector<std::uint64_t> Order(std::string_view service, instant now) const;

  [[nodiscard]] const slot_request* Find(std::uint64_t number) const;

  /// \brief Removes the requests that get no slot before their `latest_start` at that pace.
  /// \param pace Nothing when this process gets no slot at all.
  /// \returns Their numbers.
  [[nodiscard]] std::vector<std::uint64_t> RemoveHopeless(const std::string& service,
                                                          const std::optional<slot_pace>& pace,
                                                          instant now);

  /// \brief Reserves a time at which a rejected caller may return, after the callers that go before
  /// it and after those of its priority or a higher one that were rejected before it.
  /// \returns That time, or nothing when this process gets no slot at all.
  [[nodiscard]] std::optional<instant> ReserveReturn(const std::string& service,
                                                     const std::optional<slot_pace>& pace,
                                                     instant now,
                                                     request_priority priority = kLeastUrgent);

  [[nodiscard]] std::size_t Waiting(std::string_view service) const;
  /// \returns The services for which requests wait.
  [[nodiscard]] std::vector<std::string> Services() const;

 private:
  [[nodiscard]] std::vector<service_order::waiting> Candidates(std::string_view service,
                                                               instant now) const;

  options settings_;
  service_order order_{{}};
  return_times returns_;
  std::map<std::uint64_t, slot_request> requests_;  ///< In order of arrival.
  std::uint64_t last_number_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_SLOT_QUEUE_H_
