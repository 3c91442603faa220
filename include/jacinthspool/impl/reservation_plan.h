#ifndef JACINTHSPOOL_IMPL_RESERVATION_PLAN_H_
#define JACINTHSPOOL_IMPL_RESERVATION_PLAN_H_

#include <cstdint>
#include <vector>

#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Memory that a running attempt is predicted to release.
struct predicted_release {
  instant at;
  std::uint32_t pieces = 0;
};

/// \brief Memory that an attempt is waiting for.
struct pending_reservation {
  attempt_id id;
  std::uint32_t pieces = 0;
  instant earliest;        ///< Earliest start.
  microseconds run_for{};  ///< Predicted time for which the memory is held.
};

/// \brief Free capacity of an engine: pieces of memory and slots in the running batch.
struct free_capacity {
  std::uint32_t free_pieces = 0;
  std::uint32_t free_slots = 0;
};

/// \brief Predicts when each pending reservation can start.
/// \param releases Predicted releases, in any order.
/// \param reservations Pending reservations, in the order of service.
/// \returns One start time per reservation; instant::max() when its memory never becomes free.
[[nodiscard]] std::vector<instant> PlanReservations(
    instant now, free_capacity capacity, std::vector<predicted_release> releases,
    const std::vector<pending_reservation>& reservations);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_RESERVATION_PLAN_H_
