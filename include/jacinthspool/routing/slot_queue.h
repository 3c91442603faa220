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

namespace jacinthspool {

/// \brief A request that waits until a limited backend server may be sent another one.
struct slot_request {
  std::string service = {};
  std::uint32_t priority = 0;        ///< Of its route; 0 is the highest.
  bool resumes = false;              ///< The caller already has part of the answer.
  instant on_time_until{};           ///< Sent by then, it still meets its latency objective.
  instant latest_start{};            ///< Sent later, it is of no use to its caller.
  std::set<std::string> tried = {};  ///< Backend servers that it is not sent to.
  bool repeatable = true;            ///< As in `placement`.
};

/// \brief Rate at which requests may be sent to the limited servers of a service.
struct slot_pace {
  instant next{};         ///< Time of the next slot.
  double per_second = 0;  ///< Of the slots after it.
};

/// \brief Queue of the requests of services whose servers all have reached their request limits.
///
/// Resumed answers come first, then requests that can still be on time, by the
/// priority of their route and by arrival. What cannot get a slot in time at the
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

  /// \brief Reserves a time at which a rejected caller may return, after those of the callers that
  /// wait and of those that were rejected before it.
  /// \returns That time, or nothing when this process gets no slot at all.
  [[nodiscard]] std::optional<instant> ReserveReturn(const std::string& service,
                                                     const std::optional<slot_pace>& pace,
                                                     instant now);

  [[nodiscard]] std::size_t Waiting(std::string_view service) const;
  /// \returns The services for which requests wait.
  [[nodiscard]] std::vector<std::string> Services() const;

 private:
  options settings_;
  std::map<std::uint64_t, slot_request> requests_;            ///< In order of arrival.
  std::map<std::string, instant, std::less<>> last_returns_;  ///< By service.
  std::uint64_t last_number_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_SLOT_QUEUE_H_
