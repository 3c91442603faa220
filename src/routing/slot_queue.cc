#include "jacinthspool/routing/slot_queue.h"

#include <algorithm>
#include <set>
#include <tuple>
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
  requests_.emplace(++last_number_, std::move(request));
  return last_number_;
}

std::vector<std::uint64_t> slot_queue::Order(std::string_view service, instant now) const {
  using rank = std::tuple<int, std::uint32_t, std::uint64_t>;
  std::vector<rank> ranks;
  for (const auto& [number, request] : requests_) {
    if (request.service == service) {
      const int urgency = request.resumes ? 0 : now <= request.on_time_until ? 1 : 2;
      ranks.emplace_back(urgency, request.priority, number);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::uint64_t> numbers;
  numbers.reserve(ranks.size());
  for (const rank& each : ranks) {
    numbers.push_back(std::get<std::uint64_t>(each));
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
                                                 const std::optional<slot_pace>& pace,
                                                 instant now) {
  if (!pace || pace->per_second <= 0) {
    return std::nullopt;
  }
  const std::chrono::duration<double> interval{1 / pace->per_second};
  instant& last = last_returns_[service];
  last = std::max(SlotTime(*pace, Waiting(service)),
                  last + std::chrono::duration_cast<microseconds>(interval));
  last = std::min(last, now + settings_.max_return);
  return last;
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
