#ifndef JACINTHSPOOL_ROUTING_ADMISSION_QUEUE_H_
#define JACINTHSPOOL_ROUTING_ADMISSION_QUEUE_H_

#include <cstddef>
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

/// \brief A request that waits for a reservation in a decode engine.
struct reservation_request {
  std::string service = {};
  double tokens = 0;  ///< KV cache that the request needs.
  /// Gets no reservation at this server, which runs the request and is silent; empty: none.
  std::string excluded_backend = {};
  std::optional<std::string> software = {};  ///< As in `placement`.
  bool resumes = false;                      ///< The caller already has part of the answer.
  instant on_time_until{};  ///< Reserved by then, it still meets its latency objective.
  instant latest_start{};   ///< Reserved later, it cannot end before its deadline.
  service_claim claim = {};
};

/// \brief Admission queue of the requests that wait for memory in decode engines.
///
/// In bursts, or when engines are lost, more requests arrive than the engines have
/// memory for. `service_order` decides who is admitted first; late requests get the
/// remaining memory. A request that could not get a reservation in time at the recent
/// pace is rejected on arrival, not after it has waited, or once more urgent ones have
/// displaced it.
class admission_queue {
 public:
  struct options {
    /// Reservations over which the pace is averaged.
    double pace_reservations = 8;
    /// Fraction of the remaining time that the expected wait may take.
    double max_wait_share = 0.8;
    microseconds max_return = seconds(4);  ///< A rejected caller is told to return within this.
  };

  explicit admission_queue(const options& settings) : settings_(settings) {}

  /// \brief Enqueues a request.
  /// \returns Its number, or nothing when no reservation is expected before its `latest_start`.
  [[nodiscard]] std::optional<std::uint64_t> Add(reservation_request request, instant now);

  void Remove(std::uint64_t number);

  /// \returns The requests that are not in progress at an engine, the most urgent first.
  [[nodiscard]] std::vector<std::uint64_t> Order(instant now) const;

  /// \param passed_over Numbers of requests that are not returned.
  /// \returns The next request that is not in progress at an engine, or nothing.
  [[nodiscard]] std::optional<std::uint64_t> Next(
      instant now, const std::set<std::uint64_t>& passed_over = {}) const;

  [[nodiscard]] const reservation_request* Find(std::uint64_t number) const;

  /// \returns true when the request will miss its latency objective: it should get only spare
  /// memory.
  [[nodiscard]] static bool IsLate(const reservation_request& request, instant now) {
    return UrgencyOf(request.resumes, request.on_time_until, now) == request_urgency::kLate;
  }

  /// \brief Marks whether a reservation for the request is in progress at an engine.
  void SetInProgress(std::uint64_t number, bool in_progress);

  /// \brief Removes a request that has got its reservation, and updates the pace.
  void OnReserved(std::uint64_t number, instant now);

  /// \brief Removes the requests whose `latest_start` has passed and that are not in progress.
  /// \returns Their numbers.
  [[nodiscard]] std::vector<std::uint64_t> Expire(instant now);

  /// \brief Removes the requests that others have displaced, and that get no reservation before
  /// their `latest_start` at the recent pace.
  /// \returns Their numbers.
  [[nodiscard]] std::vector<std::uint64_t> RemoveDisplaced(instant now);

  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  /// \returns The number of requests for the service.
  [[nodiscard]] std::size_t Waiting(std::string_view service) const;

  /// \returns The number of requests that would go before a new one, those of its own priority and
  /// tenant included.
  [[nodiscard]] std::size_t Ahead(const reservation_request& request, instant now) const;

  /// \returns How long a new request would wait, by the recent pace.
  [[nodiscard]] microseconds ExpectedWait(const reservation_request& request, instant now) const;

  /// \brief Reserves a time at which the caller of a rejected request may return, after those that
  /// wait and those of its priority or a higher one that were rejected before it.
  /// \returns Nothing unless requests of several priorities or tenants compete.
  [[nodiscard]] std::optional<instant> ReserveReturn(const reservation_request& request,
                                                     instant now);

 private:
  struct queued_request {
    reservation_request request;
    bool in_progress = false;
  };
  struct service_pace {
    instant last_reservation{};
    double interval_us = 0;  ///< Mean time between reservations while requests waited; 0: unknown.
  };

  [[nodiscard]] std::vector<service_order::waiting> Candidates(instant now) const;
  [[nodiscard]] double IntervalOf(std::string_view service) const;

  options settings_;
  service_order order_{{}};
  return_times returns_;
  std::map<std::uint64_t, queued_request> requests_ = {};  ///< In order of arrival.
  std::map<std::string, service_pace, std::less<>> paces_ = {};
  std::uint64_t last_number_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_ADMISSION_QUEUE_H_
