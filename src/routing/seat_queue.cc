#include "jacinthspool/routing/seat_queue.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {

std::optional<std::uint64_t> seat_queue::Add(seat_claim claim, instant now) {
  const auto left = std::chrono::duration<double, std::micro>(claim.last_use - now);
  const auto wait = std::chrono::duration<double, std::micro>(ExpectedWait(claim.service));
  if (left.count() <= 0 || wait > settings_.max_wait_share * left) {
    return std::nullopt;
  }
  if (Waiting(claim.service) == 0) {
    // The time in which nobody waited says nothing of the pace.
    paces_[claim.service].last_seat = now;
  }
  claims_.emplace(++last_number_, waiting_claim{.claim = std::move(claim)});
  return last_number_;
}

void seat_queue::Remove(std::uint64_t number) { claims_.erase(number); }

std::size_t seat_queue::Waiting(std::string_view service) const {
  return static_cast<std::size_t>(
      std::count_if(claims_.begin(), claims_.end(),
                    [&](const auto& each) { return each.second.claim.service == service; }));
}

std::optional<std::uint64_t> seat_queue::Next(instant now) const {
  const auto rank = [&](const seat_claim& claim) {
    return claim.resumes ? 0 : IsLate(claim, now) ? 2 : 1;
  };
  std::optional<std::uint64_t> best;
  int best_rank = 0;
  for (const auto& [number, waiting] : claims_) {
    if (waiting.trying) {
      continue;
    }
    const int own = rank(waiting.claim);
    if (!best || own < best_rank) {
      best = number;
      best_rank = own;
    }
  }
  return best;
}

const seat_claim* seat_queue::Find(std::uint64_t number) const {
  const auto found = claims_.find(number);
  return found == claims_.end() ? nullptr : &found->second.claim;
}

void seat_queue::SetTrying(std::uint64_t number, bool trying) {
  if (const auto found = claims_.find(number); found != claims_.end()) {
    found->second.trying = trying;
  }
}

void seat_queue::OnSeated(std::uint64_t number, instant now) {
  const auto found = claims_.find(number);
  if (found == claims_.end()) {
    return;
  }
  pace& seats = paces_[found->second.claim.service];
  const double interval = static_cast<double>((now - seats.last_seat).count());
  seats.interval_us = seats.interval_us == 0 ? interval
                                             : seats.interval_us + (interval - seats.interval_us) /
                                                                       settings_.pace_seats;
  seats.last_seat = now;
  claims_.erase(found);
}

std::vector<std::uint64_t> seat_queue::Expire(instant now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [number, waiting] : claims_) {
    if (!waiting.trying && waiting.claim.last_use <= now) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    claims_.erase(number);
  }
  return expired;
}

microseconds seat_queue::ExpectedWait(std::string_view service) const {
  const auto found = paces_.find(service);
  if (found == paces_.end()) {
    return microseconds(0);
  }
  return microseconds(
      static_cast<std::int64_t>(static_cast<double>(Waiting(service)) * found->second.interval_us));
}

}  // namespace jacinthspool
