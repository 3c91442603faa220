#include "src/gateway/slot_dispatcher.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {
namespace {

/// Least and longest time between two passes over the queue.
constexpr milliseconds kMinPassInterval = milliseconds(2);
constexpr milliseconds kMaxPassInterval = milliseconds(50);

}  // namespace

std::optional<slot_pace> slot_dispatcher::Pace(std::string_view service, instant now) const {
  const auto capacity =
      context_.selector.LimitedCapacity({.service = service,
                                         .stage = context_.selector.ServingStage(service),
                                         .limiter = &context_.limiter},
                                        now);
  if (!capacity || !capacity->ready) {
    return std::nullopt;
  }
  return slot_pace{.next = *capacity->ready, .per_second = capacity->per_second};
}

queued_place slot_dispatcher::Enqueue(slot_request request, handlers callbacks) {
  const std::uint64_t number = queue_.Add(std::move(request));
  handlers_.emplace(number, std::move(callbacks));
  if (!first_pass_.active()) {
    first_pass_ = context_.timers.After(microseconds(0), [this](instant) { DispatchAll(); });
  }
  return queued_place([this, number] { Withdraw(number); });
}

void slot_dispatcher::Withdraw(std::uint64_t number) {
  queue_.Remove(number);
  handlers_.erase(number);
}

std::optional<instant> slot_dispatcher::ReserveReturn(const std::string& service, instant now,
                                                      request_priority priority) {
  return queue_.ReserveReturn(service, Pace(service, now), now, priority);
}

void slot_dispatcher::Dispatch(const std::string& service) {
  const instant now = timer_service::now();
  for (const std::uint64_t number : queue_.Order(service, now)) {
    const slot_request* next = queue_.Find(number);
    if (next == nullptr) {
      continue;  // It has left the queue when an earlier one was sent.
    }
    const engine_stage stage = context_.selector.ServingStage(service);
    if (next->software && context_.selector.CountSoftware(service, stage, *next->software) == 0) {
      queue_.Remove(number);
      if (auto found = handlers_.extract(number)) {
        found.mapped().on_rejected(kNoServerOfVersion);
      }
      continue;
    }
    const bool suits_any = next->tried.empty() && next->repeatable && !next->software;
    if (context_.selector.Choose({.service = service,
                                  .stage = stage,
                                  .software = next->software,
                                  .repeatable = next->repeatable,
                                  .tried = &next->tried,
                                  .limiter = &context_.limiter},
                                 now, context_.random()) == nullptr) {
      if (suits_any) {
        break;
      }
      // A server that this request may not use can have a slot for the ones behind it.
      continue;
    }
    queue_.OnSent(number, now);
    if (auto found = handlers_.extract(number)) {
      found.mapped().on_ready();
    }
  }
  for (const std::uint64_t number : queue_.RemoveHopeless(service, Pace(service, now), now)) {
    context_.metrics.Count("gateway_limited_rejections");
    if (auto found = handlers_.extract(number)) {
      found.mapped().on_rejected(kLimitReached);
    }
  }
}

void slot_dispatcher::DispatchAll() {
  for (const std::string& service : queue_.Services()) {
    Dispatch(service);
  }
  ScheduleNext();
}

void slot_dispatcher::ScheduleNext() {
  const instant now = timer_service::now();
  microseconds wait = kMaxPassInterval;
  const std::vector<std::string> services = queue_.Services();
  for (const std::string& service : services) {
    if (const auto pace = Pace(service, now)) {
      wait = std::min<microseconds>(wait, pace->next - now);
    }
  }
  if (services.empty() || tick_.active()) {
    return;
  }
  tick_ = context_.timers.After(std::max<microseconds>(wait, kMinPassInterval), [this](instant) {
    tick_ = {};
    DispatchAll();
  });
}

}  // namespace jacinthspool
