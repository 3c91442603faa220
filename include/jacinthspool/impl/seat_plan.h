#ifndef JACINTHSPOOL_IMPL_SEAT_PLAN_H_
#define JACINTHSPOOL_IMPL_SEAT_PLAN_H_

#include <cstdint>
#include <vector>

#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Room that a running attempt will give back.
struct predicted_release {
  instant at;
  std::uint32_t pieces = 0;
};

/// \brief Room that an attempt waits for, in the order of service.
struct waiting_seat {
  attempt_id id;
  std::uint32_t pieces = 0;
  instant earliest;        ///< It cannot begin before.
  microseconds run_for{};  ///< Predicted time for which it keeps the room.
};

/// \brief Room of an engine: pieces of memory and places in the running batch.
struct seat_room {
  std::uint32_t free_pieces = 0;
  std::uint32_t free_places = 0;
};

/// \brief Predicts when each waiting seat will have its room.
/// \param releases In any order.
/// \returns One moment for each seat; instant::max() when there never is enough room.
[[nodiscard]] std::vector<instant> PlanSeats(instant now, seat_room room,
                                             std::vector<predicted_release> releases,
                                             const std::vector<waiting_seat>& seats);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_SEAT_PLAN_H_
