#ifndef JACINTHSPOOL_ROUTING_SEAT_QUEUE_H_
#define JACINTHSPOOL_ROUTING_SEAT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief A request that waits for room in a decode engine.
struct seat_claim {
  std::string service = {};
  double tokens = 0;        ///< KV cache that it needs.
  bool resumes = false;     ///< Its caller already has a part of the answer.
  instant on_time_until{};  ///< Seated by then, it still meets its latency objective.
  instant last_use{};       ///< Seated later, it can't end before its caller's deadline.
};

/// \brief Orders the requests that wait for room in decode engines.
///
/// The load it answers: bursts and lost engines, when more requests arrive than
/// the engines have memory for. Whoever can still be answered in time goes
/// first, in order of arrival; those that are late anyway get what is left.
/// A request that could not be seated in time at the pace of the last seats is
/// turned away when it comes, not after it has waited.
class seat_queue {
 public:
  struct options {
    /// Seats over which the pace is averaged.
    double pace_seats = 8;
    /// Part of the time left that the expected wait may take.
    double max_wait_share = 0.8;
  };

  explicit seat_queue(const options& settings) : settings_(settings) {}

  /// \brief Takes a claim in.
  /// \returns Its number, or nothing when it can't expect a seat before its last use.
  [[nodiscard]] std::optional<std::uint64_t> Add(seat_claim claim, instant now);

  void Remove(std::uint64_t number);

  /// \returns The claim to be tried next that is not being tried; nothing when there is none.
  [[nodiscard]] std::optional<std::uint64_t> Next(instant now) const;

  [[nodiscard]] const seat_claim* Find(std::uint64_t number) const;

  /// \returns true when the claim can't be on time any more: it should take only room that is
  /// left over.
  [[nodiscard]] static bool IsLate(const seat_claim& claim, instant now) {
    return !claim.resumes && claim.on_time_until < now;
  }

  /// \brief A claim is being tried at an engine, or no longer.
  void SetTrying(std::uint64_t number, bool trying);

  /// \brief A claim has got its seat and leaves.
  void OnSeated(std::uint64_t number, instant now);

  /// \brief Takes out the claims whose last use has passed.
  [[nodiscard]] std::vector<std::uint64_t> Expire(instant now);

  [[nodiscard]] std::size_t size() const { return claims_.size(); }

  /// \returns How long a new claim of the service would wait, by the pace of the last seats.
  [[nodiscard]] microseconds ExpectedWait(std::string_view service) const;

 private:
  struct waiting_claim {
    seat_claim claim;
    bool trying = false;
  };
  struct pace {
    instant last_seat{};
    double interval_us = 0;  ///< Mean time between seats while claims waited; 0: unknown.
  };

  [[nodiscard]] std::size_t Waiting(std::string_view service) const;

  options settings_;
  std::map<std::uint64_t, waiting_claim> claims_ = {};  ///< In order of arrival.
  std::map<std::string, pace, std::less<>> paces_ = {};
  std::uint64_t last_number_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_SEAT_QUEUE_H_
