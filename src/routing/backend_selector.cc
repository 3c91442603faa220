#include "jacinthspool/routing/backend_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

/// Weight of the newest attempt in the moving averages.
constexpr double kNewestWeight = 0.2;
/// A server whose failure share is above this is ejected: two consecutive failures reach it.
constexpr double kEjectionThreshold = 0.35;
/// Errors common to all servers of a service are no fault of one server: to be ejected, its
/// failure share must exceed the mean of the others by this.
constexpr double kOutlierMargin = 0.25;
/// A smaller failure share counts as zero, so that a recovered server is chosen again among
/// idle ones.
constexpr double kNegligibleShare = 0.02;
/// Failure share after an ejection: the next failure ejects the server again.
constexpr double kProbationShare = 0.2;
/// Weight of the failure share in the score of a server that is still used.
constexpr double kFailureWeight = 4;
/// Score penalty of a server in another data centre, as a fraction of the request's cost.
constexpr double kRemotePenalty = 0.15;
/// A server in another data centre is drawn with this part of its share: the KV cache takes longer
/// to get there, so it should be much faster.
constexpr double kRemoteDrawPart = 0.15;
/// Upper bound of a server's latency relative to the fastest one in its score.
constexpr double kMaxSlowness = 8;
/// After an ejection, only repeatable requests are sent to the server for this time.
constexpr microseconds kProbation = seconds(2);
/// At most this fraction of the servers is ejected.
constexpr double kMaxEjectedShare = 0.5;
/// For a large body, servers whose score is at most this multiple of the best count as equal.
constexpr double kEqualScoreFactor = 1.25;

microseconds DoubledPause(microseconds first, std::uint32_t times, microseconds last) {
  constexpr std::uint32_t kMostDoublings = 8;
  return std::min(first * (1U << std::min(times, kMostDoublings)), last);
}

/// An unknown version equals no version, not even another unknown one.
bool RunsSoftware(const backend_record& record, std::string_view software) {
  return !software.empty() && record.software == software;
}

/// \brief Draws a server at random in proportion to its share rather than the fastest one: many
/// gateways choose from the same beliefs, and each choice is also a measurement.
/// \param part Of its share with which the server is drawn.
/// \returns A factor of the score with which the least score is such a draw; 1: no speed is known.
double DrawFactor(const placement& wanted, const backend_record& record, double part,
                  std::uint64_t random) {
  const auto share = wanted.pace != nullptr ? wanted.pace->Share(record) : std::optional<double>();
  if (!share) {
    return 1;
  }
  // In (0, 1]: the hash has 53 bits of use here.
  const double uniform = (static_cast<double>(HashKey(record.id, random) >> 11U) + 1) * 0x1p-53;
  return -std::log(uniform) / (*share * part);
}

}  // namespace

void backend_selector::Update(const std::map<std::string, backend_record>& backends) {
  std::erase_if(members_, [&](const auto& each) { return !backends.contains(each.first); });
  for (const auto& [id, record] : backends) {
    Update(record);
  }
}

void backend_selector::Update(const backend_record& record) {
  member& each = members_[record.id];
  if (each.record.started_ms != record.started_ms) {
    // Another incarnation has the id: the statistics of the former do not apply.
    each = {};
  }
  each.record = record;
}

bool backend_selector::Available(const member& each, instant now) {
  const bool wrong = each.wrong_record == each.record.published && now < each.wrong_record_until;
  return each.back_off_until <= now && !wrong;
}

bool backend_selector::IsEjected(const member& each, const placement& wanted, instant now) {
  const bool on_probation =
      each.ejections > 0 && !wanted.repeatable && now < each.ejected_until + kProbation;
  return each.ejected_until > now || on_probation;
}

bool backend_selector::Matches(const member& each, const placement& wanted) const {
  return !each.record.leaving && each.record.service == wanted.service &&
         each.record.stage == wanted.stage &&
         (!wanted.software || RunsSoftware(each.record, *wanted.software)) &&
         (wanted.tried == nullptr || !wanted.tried->contains(each.record.id));
}

double backend_selector::FailureShare(const member& each, instant now) const {
  const std::chrono::duration<double> age = now - each.updated;
  const std::chrono::duration<double> half = settings_.failure_half_life;
  const double faded = each.failure_share * std::exp2(-std::max(age.count(), 0.0) / half.count());
  return faded < kNegligibleShare ? 0 : faded;
}

void backend_selector::SetFailureShare(member& each, double share, instant now) {
  each.failure_share = share;
  each.updated = now;
}

double backend_selector::Score(const member& each, const placement& wanted, double fastest_ms,
                               instant now) const {
  const double distance =
      each.record.data_centre == settings_.data_centre ? 0 : kRemotePenalty * wanted.cost;
  const double slowness = each.latency_ms > 0 && fastest_ms > 0
                              ? std::clamp(each.latency_ms / fastest_ms, 1.0, kMaxSlowness)
                              : 1;
  return (each.load + wanted.cost + distance) * slowness *
         (1 + kFailureWeight * FailureShare(each, now));
}

const backend_record* backend_selector::Choose(const placement& wanted, instant now,
                                               std::uint64_t random) const {
  std::vector<const member*> usable;
  std::vector<const member*> ejected;
  std::size_t at_limit = 0;
  double fastest_ms = 0;
  for (const auto& [id, each] : members_) {
    if (!Matches(each, wanted) || !Available(each, now)) {
      continue;
    }
    const bool out = IsEjected(each, wanted, now);
    if (wanted.limiter != nullptr && !wanted.limiter->MaySend(each.record, wanted.calls, now)) {
      at_limit += out ? 0 : 1;
      continue;
    }
    (out ? ejected : usable).push_back(&each);
    if (!out && each.latency_ms > 0 && (fastest_ms == 0 || each.latency_ms < fastest_ms)) {
      fastest_ms = each.latency_ms;
    }
  }
  const std::size_t all = usable.size() + ejected.size() + at_limit;
  if (static_cast<double>(ejected.size()) > kMaxEjectedShare * static_cast<double>(all)) {
    usable.insert(usable.end(), ejected.begin(), ejected.end());
  }
  if (usable.empty()) {
    return nullptr;
  }
  const bool some_free = std::any_of(usable.begin(), usable.end(),
                                     [&](const member* each) { return each->busy_until <= now; });
  if (wanted.only_free && !some_free) {
    return nullptr;
  }
  const member* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  const std::size_t first = random % usable.size();
  for (std::size_t i = 0; i < usable.size(); ++i) {
    const member* each = usable[(first + i) % usable.size()];
    if (some_free && each->busy_until > now) {
      continue;
    }
    const double part = each->record.data_centre == settings_.data_centre ? 1 : kRemoteDrawPart;
    const double score =
        Score(*each, wanted, fastest_ms, now) * DrawFactor(wanted, each->record, part, random);
    if (score < best_score) {
      best = each;
      best_score = score;
    }
  }
  if (wanted.unfinished != nullptr && unfinished_bytes::IsLarge(wanted.body_bytes)) {
    for (const member* each : usable) {
      if ((!some_free || each->busy_until <= now) &&
          Score(*each, wanted, fastest_ms, now) <= kEqualScoreFactor * best_score &&
          wanted.unfinished->at(each->record) < wanted.unfinished->at(best->record)) {
        best = each;
      }
    }
  }
  return &best->record;
}

std::optional<limited_capacity> backend_selector::LimitedCapacity(const placement& wanted,
                                                                  instant now) const {
  limited_capacity capacity;
  bool any = false;
  for (const auto& [id, each] : members_) {
    if (!Matches(each, wanted) || !Available(each, now) || IsEjected(each, wanted, now)) {
      continue;
    }
    if (!wanted.limiter->limited(each.record)) {
      return std::nullopt;
    }
    any = true;
    capacity.per_second += wanted.limiter->Rate(each.record) / wanted.calls;
    if (const auto ready = wanted.limiter->ReadyAt(each.record, wanted.calls, now)) {
      capacity.ready = std::min(capacity.ready.value_or(*ready), *ready);
    }
  }
  return any ? std::optional(capacity) : std::nullopt;
}

bool backend_selector::Has(std::string_view service, engine_stage stage) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& each) {
    return Matches(each.second, {.service = service, .stage = stage});
  });
}

std::size_t backend_selector::CountSoftware(std::string_view service, engine_stage stage,
                                            std::string_view software) const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& each) {
        return Matches(each.second, {.service = service, .stage = stage, .software = software});
      }));
}

void backend_selector::OnStarted(const std::string& id, double cost) {
  if (const auto found = members_.find(id); found != members_.end()) {
    ++found->second.running;
    found->second.load += cost;
  }
}

void backend_selector::Eject(member& failing, instant now) const {
  failing.ejected_until =
      now + DoubledPause(settings_.min_ejection, failing.ejections, settings_.max_ejection);
  SetFailureShare(failing, kProbationShare, failing.ejected_until);
  ++failing.ejections;
}

void backend_selector::OnEnded(const std::string& id, double cost, attempt_result result,
                               microseconds taken, instant now) {
  const auto found = members_.find(id);
  if (found == members_.end()) {
    return;
  }
  member& each = found->second;
  each.running -= each.running > 0 ? 1 : 0;
  each.load = each.running == 0 ? 0 : std::max(0.0, each.load - cost);
  switch (result) {
    case attempt_result::kUnknown:
      return;
    case attempt_result::kBusy:
      each.busy_until =
          now + DoubledPause(settings_.busy_pause, each.rejections++, settings_.max_busy_pause);
      return;
    case attempt_result::kGood: {
      const double ms = static_cast<double>(taken.count()) / 1000;
      each.latency_ms =
          each.latency_ms == 0 ? ms : each.latency_ms + kNewestWeight * (ms - each.latency_ms);
      SetFailureShare(each, (1 - kNewestWeight) * FailureShare(each, now), now);
      each.rejections = 0;
      if (each.ejected_until <= now) {
        each.ejections = 0;
      }
      return;
    }
    case attempt_result::kUnreachable:
      Eject(each, now);
      return;
    case attempt_result::kFailed:
      CountFailure(each, now);
      return;
  }
}

void backend_selector::OnSilent(const std::string& id, instant now) {
  if (const auto found = members_.find(id); found != members_.end()) {
    CountFailure(found->second, now);
  }
}

void backend_selector::SetBusy(const std::string& id, instant until) {
  if (const auto found = members_.find(id); found != members_.end()) {
    found->second.busy_until = until;
  }
}

void backend_selector::SetBackOff(const std::string& id, instant until) {
  if (const auto found = members_.find(id); found != members_.end()) {
    found->second.back_off_until = std::max(found->second.back_off_until, until);
  }
}

bool backend_selector::backing_off(const std::string& id, instant now) const {
  const auto found = members_.find(id);
  return found != members_.end() && found->second.back_off_until > now;
}

std::optional<instant> backend_selector::BackOffEnd(std::string_view service, engine_stage stage,
                                                    instant now) const {
  std::optional<instant> first;
  for (const auto& [id, each] : members_) {
    if (!Matches(each, {.service = service, .stage = stage})) {
      continue;
    }
    if (each.back_off_until <= now) {
      return std::nullopt;
    }
    first = std::min(first.value_or(each.back_off_until), each.back_off_until);
  }
  return first;
}

void backend_selector::MarkRecordWrong(const std::string& id, instant now) {
  if (const auto found = members_.find(id); found != members_.end()) {
    found->second.wrong_record = found->second.record.published;
    found->second.wrong_record_until = now + settings_.wrong_record_pause;
  }
}

void backend_selector::ClearBusy(const std::string& id) { SetBusy(id, {}); }

double backend_selector::FailureShareOfOthers(const member& one, instant now) const {
  double sum = 0;
  int count = 0;
  for (const auto& [id, each] : members_) {
    if (&each != &one && each.record.service == one.record.service &&
        each.record.stage == one.record.stage) {
      sum += FailureShare(each, now);
      ++count;
    }
  }
  return count > 0 ? sum / count : 0;
}

void backend_selector::CountFailure(member& failing, instant now) const {
  const double before = FailureShare(failing, now);
  SetFailureShare(failing, before + kNewestWeight * (1 - before), now);
  // Failures of attempts that were in progress at an ejection do not extend it.
  const double usual = FailureShareOfOthers(failing, now);
  if (failing.ejected_until <= now &&
      failing.failure_share > std::max(kEjectionThreshold, usual + kOutlierMargin)) {
    Eject(failing, now);
  }
}

std::size_t backend_selector::ejected(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [&](const auto& each) { return each.second.ejected_until > now; }));
}

}  // namespace jacinthspool
