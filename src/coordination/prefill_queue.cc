#include "jacinthspool/impl/prefill_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace jacinthspool {
namespace {

double InSeconds(microseconds time) { return std::chrono::duration<double>(time).count(); }

bool Before(std::uint8_t priority, instant deadline, const prefill_job& other) {
  return std::tie(priority, deadline) < std::tie(other.priority, other.deadline);
}

}  // namespace

prefill_queue::admission prefill_queue::Admits(const std::string& team) const {
  if (teams_of_.size() >= capacity_) {
    return admission::kFull;
  }
  const auto own = teams_.find(team);
  const std::size_t queued = own == teams_.end() ? 0 : own->second.jobs.size();
  const double places = std::ceil(static_cast<double>(capacity_) * shares_.ShareOf(team));
  return static_cast<double>(queued) < places ? admission::kAdmitted : admission::kTeamShare;
}

void prefill_queue::Reserve(const prefill_job& job) {
  if (!teams_of_.try_emplace(job.id, job.team).second) {
    return;
  }
  team_queue& queue = teams_[job.team];
  queue.jobs.push_back({.job = job});
  queue.work += job.work;
  work_ += job.work;
}

void prefill_queue::MakeReady(attempt_id id, instant deadline, std::optional<instant> not_before) {
  queued_job* const queued = Find(id);
  if (queued == nullptr) {
    return;
  }
  queued->ready = true;
  queued->job.deadline = deadline;
  queued->job.not_before = not_before;
}

void prefill_queue::UpdateNotBefore(attempt_id id, std::optional<instant> not_before) {
  queued_job* const queued = Find(id);
  if (queued != nullptr) {
    queued->job.not_before = not_before;
  }
}

void prefill_queue::Remove(attempt_id id) {
  const auto position = teams_of_.find(id);
  if (position == teams_of_.end()) {
    return;
  }
  const auto queue = teams_.find(position->second);
  teams_of_.erase(position);
  std::vector<queued_job>& jobs = queue->second.jobs;
  const auto job = std::find_if(jobs.begin(), jobs.end(),
                                [&](const queued_job& queued) { return queued.job.id == id; });
  queue->second.work -= job->job.work;
  work_ -= job->job.work;
  jobs.erase(job);
  if (jobs.empty()) {
    teams_.erase(queue);
  }
}

const prefill_job* prefill_queue::Peek(instant now) const {
  const queued_job* best = nullptr;
  double best_start = 0;
  for (const auto& [team, queue] : teams_) {
    const queued_job* const candidate = FirstEligible(queue, now);
    const double start = shares_.StartOf(team);
    if (candidate != nullptr && (best == nullptr || start < best_start)) {
      best = candidate;
      best_start = start;
    }
  }
  return best == nullptr ? nullptr : &best->job;
}

std::optional<prefill_job> prefill_queue::Pop(instant now) {
  const prefill_job* const next = Peek(now);
  if (next == nullptr) {
    return std::nullopt;
  }
  prefill_job job = *next;
  Remove(job.id);
  shares_.AdvanceTo(shares_.Charge(job.team, InSeconds(job.work)));
  return job;
}

microseconds prefill_queue::WaitOf(const std::string& team, std::uint8_t priority,
                                   instant deadline) const {
  microseconds own{};
  const auto own_queue = teams_.find(team);
  if (own_queue != teams_.end()) {
    for (const queued_job& queued : own_queue->second.jobs) {
      const bool later = jacinthspool::Before(priority, deadline, queued.job);
      own += later ? microseconds::zero() : queued.job.work;
    }
  }
  // While the team's own work is served, each other team gets its weighted share.
  constexpr microseconds kMinWork = milliseconds(10);
  microseconds wait = own;
  for (const auto& [other, queue] : teams_) {
    if (other == team) {
      continue;
    }
    const double ratio = shares_.WeightOf(other) / shares_.WeightOf(team);
    const double beside = static_cast<double>(std::max(own, kMinWork).count()) * ratio;
    wait += std::min(queue.work, microseconds(static_cast<std::int64_t>(beside)));
  }
  return wait;
}

std::optional<instant> prefill_queue::next_eligible(instant now) const {
  std::optional<instant> next;
  for (const auto& [team, queue] : teams_) {
    for (const queued_job& queued : queue.jobs) {
      const std::optional<instant> at = queued.job.not_before;
      if (queued.ready && at && *at > now && (!next || *at < *next)) {
        next = at;
      }
    }
  }
  return next;
}

bool prefill_queue::Before(const prefill_job& left, const prefill_job& right) {
  return jacinthspool::Before(left.priority, left.deadline, right);
}

const prefill_queue::queued_job* prefill_queue::FirstEligible(const team_queue& queue,
                                                              instant now) {
  const queued_job* first = nullptr;
  for (const queued_job& queued : queue.jobs) {
    const bool eligible = queued.ready && (!queued.job.not_before || *queued.job.not_before <= now);
    if (eligible && (first == nullptr || Before(queued.job, first->job))) {
      first = &queued;
    }
  }
  return first;
}

prefill_queue::queued_job* prefill_queue::Find(attempt_id id) {
  const auto position = teams_of_.find(id);
  if (position == teams_of_.end()) {
    return nullptr;
  }
  for (queued_job& queued : teams_[position->second].jobs) {
    if (queued.job.id == id) {
      return &queued;
    }
  }
  return nullptr;
}

}  // namespace jacinthspool
