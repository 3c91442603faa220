#include "jacinthspool/impl/seat_plan.h"

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

bool Fits(const seat_room& room, std::uint32_t pieces) {
  return room.free_places > 0 && room.free_pieces >= pieces;
}

void TakeBack(seat_room& room, const predicted_release& release) {
  room.free_pieces += release.pieces;
  ++room.free_places;
}

}  // namespace

std::vector<instant> PlanSeats(instant now, seat_room room, std::vector<predicted_release> releases,
                               const std::vector<waiting_seat>& seats) {
  release_queue ahead(later{}, std::move(releases));
  std::vector<instant> planned;
  planned.reserve(seats.size());
  instant at = now;
  for (const waiting_seat& seat : seats) {
    while (!Fits(room, seat.pieces) && !ahead.empty()) {
      at = std::max(at, ahead.top().at);
      TakeBack(room, ahead.top());
      ahead.pop();
    }
    if (!Fits(room, seat.pieces)) {
      planned.push_back(instant::max());
      continue;
    }
    room.free_pieces -= seat.pieces;
    --room.free_places;
    planned.push_back(at);
    ahead.push({.at = std::max(at, seat.earliest) + seat.run_for, .pieces = seat.pieces});
  }
  return planned;
}

}  // namespace jacinthspool
