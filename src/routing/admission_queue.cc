#include "jacinthspool/routing/admission_queue.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {

std::optional<std::uint64_t> admission_queue::Add(reservation_request request, instant now) {
  const auto left = std::chrono::duration<double, std::micro>(request.latest_start - now);
  const auto wait = std::chrono::duration<double, std::micro>(ExpectedWait(request.service));
  if (left.count() <= 0 || wait > settings_.max_wait_share * left) {
    return std::nullopt;
  }
  if (Waiting(request.service) == 0) {
    // The time in which the queue was empty does not count for the pace.
    paces_[request.service].last_reservation = now;
  }
  requests_.emplace(++last_number_, queued_request{.request = std::move(request)});
  return last_number_;
}

void admission_queue::Remove(std::uint64_t number) { requests_.erase(number); }

std::size_t admission_queue::Waiting(std::string_view service) const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [&](const auto& each) { return each.second.request.service == service; }));
}

std::optional<std::uint64_t> admission_queue::Next(
    instant now, const std::set<std::uint64_t>& passed_over) const {
  const auto rank = [&](const reservation_request& request) {
    return request.resumes ? 0 : IsLate(request, now) ? 2 : 1;
  };
  std::optional<std::uint64_t> best;
  int best_rank = 0;
  for (const auto& [number, waiting] : requests_) {
    if (waiting.in_progress || passed_over.contains(number)) {
      continue;
    }
    const int own = rank(waiting.request);
    if (!best || own < best_rank) {
      best = number;
      best_rank = own;
    }
  }
  return best;
}

const reservation_request* admission_queue::Find(std::uint64_t number) const {
  const auto found = requests_.find(number);
  return found == requests_.end() ? nullptr : &found->second.request;
}

void admission_queue::SetInProgress(std::uint64_t number, bool in_progress) {
  if (const auto found = requests_.find(number); found != requests_.end()) {
    found->second.in_progress = in_progress;
  }
}

void admission_queue::OnReserved(std::uint64_t number, instant now) {
  const auto found = requests_.find(number);
  if (found == requests_.end()) {
    return;
  }
  service_pace& pace = paces_[found->second.request.service];
  const double interval = static_cast<double>((now - pace.last_reservation).count());
  pace.interval_us = pace.interval_us == 0 ? interval
                                           : pace.interval_us + (interval - pace.interval_us) /
                                                                    settings_.pace_reservations;
  pace.last_reservation = now;
  requests_.erase(found);
}

std::vector<std::uint64_t> admission_queue::Expire(instant now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [number, waiting] : requests_) {
    if (!waiting.in_progress && waiting.request.latest_start <= now) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    requests_.erase(number);
  }
  return expired;
}

microseconds admission_queue::ExpectedWait(std::string_view service) const {
  const auto found = paces_.find(service);
  if (found == paces_.end()) {
    return microseconds(0);
  }
  return microseconds(
      static_cast<std::int64_t>(static_cast<double>(Waiting(service)) * found->second.interval_us));
}

}  // namespace jacinthspool
