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

namespace jacinthspool {

/// \brief A request that waits for a reservation in a decode engine.
struct reservation_request {
  std::string service = {};
  double tokens = 0;  ///< KV cache that the request needs.
  /// Gets no reservation at this server, which runs the request and is silent; empty: none.
  std::string excluded_backend = {};
  bool resumes = false;     ///< The caller already has part of the answer.
  instant on_time_until{};  ///< Reserved by then, it still meets its latency objective.
  instant latest_start{};   ///< Reserved later, it cannot end before its deadline.
};

/// \brief Admission queue of the requests that wait for memory in decode engines.
///
/// In bursts, or when engines are lost, more requests arrive than the engines have
/// memory for. Requests that can still be answered on time are admitted first, in
/// order of arrival; late ones get the remaining memory. A request that could not
/// get a reservation in time at the recent pace is rejected on arrival, not after
/// it has waited.
class admission_queue {
 public:
  struct options {
    /// Reservations over which the pace is averaged.
    double pace_reservations = 8;
    /// Fraction of the remaining time that the expected wait may take.
    double max_wait_share = 0.8;
  };

  explicit admission_queue(const options& settings) : settings_(settings) {}

  /// \brief Enqueues a request.
  /// \returns Its number, or nothing when no reservation is expected before its `latest_start`.
  [[nodiscard]] std::optional<std::uint64_t> Add(reservation_request request, instant now);

  void Remove(std::uint64_t number);

  /// \param passed_over Numbers of requests that are not returned.
  /// \returns The next request that is not in progress at an engine, or nothing.
  [[nodiscard]] std::optional<std::uint64_t> Next(
      instant now, const std::set<std::uint64_t>& passed_over = {}) const;

  [[nodiscard]] const reservation_request* Find(std::uint64_t number) const;

  /// \returns true when the request will miss its latency objective: it should get only spare
  /// memory.
  [[nodiscard]] static bool IsLate(const reservation_request& request, instant now) {
    return !request.resumes && request.on_time_until < now;
  }

  /// \brief Marks whether a reservation for the request is in progress at an engine.
  void SetInProgress(std::uint64_t number, bool in_progress);

  /// \brief Removes a request that has got its reservation, and updates the pace.
  void OnReserved(std::uint64_t number, instant now);

  /// \brief Removes the requests whose `latest_start` has passed and that are not in progress.
  /// \returns Their numbers.
  [[nodiscard]] std::vector<std::uint64_t> Expire(instant now);

  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  /// \returns The number of requests for the service.
  [[nodiscard]] std::size_t Waiting(std::string_view service) const;

  /// \returns How long a new request of the service would wait, by the recent pace.
  [[nodiscard]] microseconds ExpectedWait(std::string_view service) const;

 private:
  struct queued_request {
    reservation_request request;
    bool in_progress = false;
  };
  struct service_pace {
    instant last_reservation{};
    double interval_us = 0;  ///< Mean time between reservations while requests waited; 0: unknown.
  };

  options settings_;
  std::map<std::uint64_t, queued_request> requests_ = {};  ///< In order of arrival.
  std::map<std::string, service_pace, std::less<>> paces_ = {};
  std::uint64_t last_number_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_ADMISSION_QUEUE_H_
