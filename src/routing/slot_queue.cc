#include "jacinthspool/routing/slot_queue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jacinthspool {
namespace {

/// \returns The time of the slot that is `position` after the next one.
instant SlotTime(const slot_pace& pace, std::size_t position) {
  const std::chrono::duration<double> wait{static_cast<double>(position) / pace.per_second};
  return pace.next + std::chrono::duration_cast<microseconds>(wait);
}

}  // namespace

std::uint64_t slot_queue::Add(slot_request request) {
  order_.OnAsked(request.service, request.claim, 1, request.enqueued);
  requests_.emplace(++last_number_, std::move(request));
  return last_number_;
}

void slot_queue::OnSent(std::uint64_t number, instant now) {
  if (const auto sent = requests_.extract(number)) {
    order_.OnGranted(sent.mapped().service, sent.mapped().claim, 1, now);
  }
}

std::vector<service_order::waiting> slot_queue::Candidates(std::string_view service,
                                                           instant now) const {
  std::vector<service_order::waiting> candidates;
  for (const auto& [number, request] : requests_) {
    if (request.service == service) {
      candidates.push_back({.number = number,
                            .service = request.service,
                            .claim = &request.claim,
                            .urgency = UrgencyOf(request.resumes, request.on_time_until, now)});
    }
  }
  return candidates;
}

std::vector<std::uint64_t> slot_queue::Order(std::string_view service, instant now) const {
  std::vector<std::uint64_t> numbers;
  for (const auto& each : order_.Sort(Candidates(service, now), now)) {
    numbers.push_back(each.number);
  }
  return numbers;
}

std::optional<std::uint64_t> slot_queue::Next(std::string_view service, instant now) const {
  const std::vector<std::uint64_t> order = Order(service, now);
  return order.empty() ? std::nullopt : std::optional(order.front());
}

const slot_request* slot_queue::Find(std::uint64_t number) const {
  const auto found = requests_.find(number);
  return found == requests_.end() ? nullptr : &found->second;
}

std::vector<std::uint64_t> slot_queue::RemoveHopeless(const std::string& service,
                                                      const std::optional<slot_pace>& pace,
                                                      instant now) {
  std::vector<std::uint64_t> hopeless;
  std::size_t position = 0;
  for (const std::uint64_t number : Order(service, now)) {
    const instant latest = requests_.at(number).latest_start;
    if (pace && pace->per_second > 0 && std::max(now, SlotTime(*pace, position)) <= latest) {
      ++position;
    } else {
      hopeless.push_back(number);
      requests_.erase(number);
    }
  }
  return hopeless;
}

std::optional<instant> slot_queue::ReserveReturn(const std::string& service,
                                                 const std::optional<slot_pace>& pace, instant now,
                                                 request_priority priority) {
  if (!pace || pace->per_second <= 0) {
    return std::nullopt;
  }
  const auto ahead = static_cast<std::size_t>(std::ranges::count_if(requests_, [&](const auto& e) {
    return e.second.service == service && e.second.claim.priority <= priority;
  }));
  const std::chrono::duration<double> interval{1 / pace->per_second};
  return returns_.Reserve({.service = service,
                           .priority = priority,
                           .earliest = SlotTime(*pace, ahead),
                           .interval = std::chrono::duration_cast<microseconds>(interval),
                           .latest = now + settings_.max_return});
}

std::size_t slot_queue::Waiting(std::string_view service) const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [&](const auto& each) { return each.second.service == service; }));
}

std::vector<std::string> slot_queue::Services() const {
  std::set<std::string> services;
  for (const auto& [number, request] : requests_) {
    services.insert(request.service);
  }
  return {services.begin(), services.end()};
}

}  // namespace jacinthspool
