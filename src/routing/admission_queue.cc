#include "jacinthspool/routing/admission_queue.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {
namespace {

service_order::waiting CandidateOf(std::uint64_t number, const reservation_request& request,
                                   instant now) {
  return {.number = number,
          .service = request.service,
          .claim = &request.claim,
          .urgency = UrgencyOf(request.resumes, request.on_time_until, now),
          .amount = request.tokens};
}

microseconds WaitFor(std::size_t reservations, double interval_us) {
  return microseconds(static_cast<std::int64_t>(static_cast<double>(reservations) * interval_us));
}

}  // namespace

std::optional<std::uint64_t> admission_queue::Add(reservation_request request, instant now) {
  order_.OnAsked(request.service, request.claim, request.tokens, now);
  const auto left = std::chrono::duration<double, std::micro>(request.latest_start - now);
  const auto wait = std::chrono::duration<double, std::micro>(ExpectedWait(request, now));
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

std::vector<service_order::waiting> admission_queue::Candidates(instant now) const {
  std::vector<service_order::waiting> candidates;
  candidates.reserve(requests_.size());
  for (const auto& [number, waiting] : requests_) {
    if (!waiting.in_progress) {
      candidates.push_back(CandidateOf(number, waiting.request, now));
    }
  }
  return candidates;
}

std::vector<std::uint64_t> admission_queue::Order(instant now) const {
  std::vector<std::uint64_t> numbers;
  for (const auto& each : order_.Sort(Candidates(now), now)) {
    numbers.push_back(each.number);
  }
  return numbers;
}

std::optional<std::uint64_t> admission_queue::Next(
    instant now, const std::set<std::uint64_t>& passed_over) const {
  for (const std::uint64_t number : Order(now)) {
    if (!passed_over.contains(number)) {
      return number;
    }
  }
  return std::nullopt;
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
  const reservation_request& request = found->second.request;
  order_.OnGranted(request.service, request.claim, request.tokens, now);
  service_pace& pace = paces_[request.service];
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

std::vector<std::uint64_t> admission_queue::RemoveDisplaced(instant now) {
  struct served {
    std::size_t count = 0;
    std::vector<std::pair<std::uint64_t, const service_claim*>> latest;  ///< One of each group.
  };
  std::map<std::string_view, served> services;
  for (const auto& [number, waiting] : requests_) {
    services[waiting.request.service].count += waiting.in_progress ? 1 : 0;
  }
  std::vector<std::uint64_t> displaced;
  for (const std::uint64_t number : Order(now)) {
    const reservation_request& request = requests_.at(number).request;
    served& before = services[request.service];
    const bool overtaken = std::ranges::any_of(before.latest, [&](const auto& each) {
      return each.first > number && !each.second->IsOfSameGroup(request.claim);
    });
    if (overtaken &&
        now + WaitFor(before.count, IntervalOf(request.service)) > request.latest_start) {
      displaced.push_back(number);
      continue;
    }
    ++before.count;
    const auto own = std::ranges::find_if(
        before.latest, [&](const auto& each) { return each.second->IsOfSameGroup(request.claim); });
    if (own == before.latest.end()) {
      before.latest.emplace_back(number, &request.claim);
    } else {
      own->first = std::max(own->first, number);
    }
  }
  for (const std::uint64_t number : displaced) {
    requests_.erase(number);
  }
  return displaced;
}

std::size_t admission_queue::Ahead(const reservation_request& request, instant now) const {
  std::size_t ahead = 0;
  for (const auto& [number, waiting] : requests_) {
    ahead += waiting.in_progress && waiting.request.service == request.service ? 1U : 0U;
  }
  const std::uint64_t own = last_number_ + 1;
  std::vector<service_order::waiting> candidates = Candidates(now);
  candidates.push_back(CandidateOf(own, request, now));
  bool before = true;
  for (const auto& each : order_.Sort(std::move(candidates), now)) {
    if (each.number == own) {
      before = false;
    } else if (each.service == request.service &&
               (before || each.claim->IsOfSameGroup(request.claim))) {
      ++ahead;
    }
  }
  return ahead;
}

double admission_queue::IntervalOf(std::string_view service) const {
  const auto found = paces_.find(service);
  return found == paces_.end() ? 0 : found->second.interval_us;
}

microseconds admission_queue::ExpectedWait(const reservation_request& request, instant now) const {
  const double interval = IntervalOf(request.service);
  return interval == 0 ? microseconds(0) : WaitFor(Ahead(request, now), interval);
}

std::optional<instant> admission_queue::ReserveReturn(const reservation_request& request,
                                                      instant now) {
  const double interval = IntervalOf(request.service);
  const bool contended = std::ranges::any_of(requests_, [&](const auto& each) {
    const reservation_request& other = each.second.request;
    return other.service == request.service && !other.claim.IsOfSameGroup(request.claim);
  });
  if (interval == 0 || !contended) {
    return std::nullopt;
  }
  return returns_.Reserve({.service = request.service,
                           .priority = request.claim.priority,
                           .earliest = now + WaitFor(Ahead(request, now), interval),
                           .interval = WaitFor(1, interval),
                           .latest = now + settings_.max_return});
}

}  // namespace jacinthspool
