#include "jacinthspool/impl/reservation_plan.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace jacinthspool {
namespace {

struct later {
  bool operator()(const predicted_release& left, const predicted_release& right) const {
    return left.at > right.at;
  }
};

using release_queue = std::priority_queue<predicted_release, std::vector<predicted_release>, later>;

bool Fits(const free_capacity& capacity, std::uint32_t pieces) {
  return capacity.free_slots > 0 && capacity.free_pieces >= pieces;
}

void AddRelease(free_capacity& capacity, const predicted_release& release) {
  capacity.free_pieces += release.pieces;
  ++capacity.free_slots;
}

}  // namespace

std::vector<instant> PlanReservations(instant now, free_capacity capacity,
                                      std::vector<predicted_release> releases,
                                      const std::vector<pending_reservation>& reservations) {
  release_queue upcoming(later{}, std::move(releases));
  std::vector<instant> planned;
  planned.reserve(reservations.size());
  instant at = now;
  for (const pending_reservation& reservation : reservations) {
    while (!Fits(capacity, reservation.pieces) && !upcoming.empty()) {
      at = std::max(at, upcoming.top().at);
      AddRelease(capacity, upcoming.top());
      upcoming.pop();
    }
    if (!Fits(capacity, reservation.pieces)) {
      planned.push_back(instant::max());
      continue;
    }
    capacity.free_pieces -= reservation.pieces;
    --capacity.free_slots;
    planned.push_back(at);
    upcoming.push({.at = std::max(at, reservation.earliest) + reservation.run_for,
                   .pieces = reservation.pieces});
  }
  return planned;
}

}  // namespace jacinthspool
