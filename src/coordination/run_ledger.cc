#include "jacinthspool/impl/run_ledger.h"

#include <algorithm>
#include <cctype>

namespace jacinthspool {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kTimeDigits = 12;
constexpr int kBitsPerDigit = 4;
constexpr int kHexLetterOffset = 10;

bool IsHyphenPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

bool IsHex(char digit) { return std::isxdigit(static_cast<unsigned char>(digit)) != 0; }

std::int64_t ValueOf(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  return std::tolower(static_cast<unsigned char>(digit)) - 'a' + kHexLetterOffset;
}

bool IsUuidVersion7(const std::string& key) {
  if (key.size() != kUuidLength || key[kVersionPosition] != '7') {
    return false;
  }
  for (std::size_t position = 0; position < key.size(); ++position) {
    const bool fits = IsHyphenPosition(position) ? key[position] == '-' : IsHex(key[position]);
    if (!fits) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<wall_time> CreationTimeOf(const std::string& key) {
  if (!IsUuidVersion7(key)) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  std::size_t digits = 0;
  for (std::size_t position = 0; digits < kTimeDigits; ++position) {
    if (IsHyphenPosition(position)) {
      continue;
    }
    value = (value << kBitsPerDigit) | ValueOf(key[position]);
    ++digits;
  }
  return wall_time(milliseconds(value));
}

std::string run_ledger::QualifiedKey(const run_key& key) {
  if (key.key.empty()) {
    return {};
  }
  return key.team + '\n' + key.key;
}

bool run_ledger::MayHaveRunBefore(instant now, const std::string& key) const {
  const microseconds running_for = now - settings_.started;
  const std::optional<wall_time> created = CreationTimeOf(key);
  if (!created) {
    return running_for < settings_.retention;
  }
  const auto wall_now = settings_.started_wall + running_for;
  const bool after_start = *created > settings_.started_wall + settings_.clock_skew;
  const bool in_future = *created > wall_now + settings_.clock_skew;
  const bool remembered = wall_now - *created < settings_.retention - settings_.clock_skew;
  return !after_start || in_future || !remembered;
}

refusal_reason run_ledger::CheckKey(instant now, attempt_id attempt, const run_key& key) const {
  if (key.key.empty()) {
    return refusal_reason::kNone;
  }
  const auto seen = keys_.find(QualifiedKey(key));
  if (seen != keys_.end()) {
    const bool next_attempt = key.repeatable && seen->second.request == attempt.request;
    return next_attempt ? refusal_reason::kNone : refusal_reason::kDuplicate;
  }
  if (!key.repeatable && MayHaveRunBefore(now, key.key)) {
    return refusal_reason::kKeyMayHaveRun;
  }
  return refusal_reason::kNone;
}

microseconds run_ledger::TimeUntilKeysAccepted(instant now) const {
  const microseconds left = settings_.started + settings_.retention - now;
  return std::max(left, microseconds::zero());
}

refusal_reason run_ledger::Begin(instant now, attempt_id attempt, const run_key& key) {
  const auto known = attempts_.find(attempt);
  if (known != attempts_.end()) {
    const bool never_starts = known->second.reason != refusal_reason::kNone;
    return never_starts ? refusal_reason::kSealed : refusal_reason::kDuplicate;
  }
  const refusal_reason reason = CheckKey(now, attempt, key);
  if (reason != refusal_reason::kNone) {
    return reason;
  }
  record& begun = attempts_[attempt];
  begun.state = run_state::kRunning;
  begun.key = QualifiedKey(key);
  if (!begun.key.empty()) {
    keys_[begun.key] = attempt;
  }
  return refusal_reason::kNone;
}

void run_ledger::End(instant now, attempt_id attempt, run_state how) {
  if (how == run_state::kNotRun) {
    Withdraw(now, attempt);
    return;
  }
  const auto position = attempts_.find(attempt);
  if (position == attempts_.end() || position->second.state != run_state::kRunning) {
    return;
  }
  position->second.state = how;
  ended_.push_back({now, attempt});
}

void run_ledger::Withdraw(instant now, attempt_id attempt) {
  const auto position = attempts_.find(attempt);
  if (position == attempts_.end() || position->second.state != run_state::kRunning) {
    return;
  }
  record& withdrawn = position->second;
  const auto key = keys_.find(withdrawn.key);
  if (key != keys_.end() && key->second == attempt) {
    keys_.erase(key);
  }
  withdrawn = {.state = run_state::kNotRun, .reason = refusal_reason::kSealed, .key = {}};
  RetainSealed(now, attempt);
}

run_state run_ledger::Seal(instant now, attempt_id attempt, refusal_reason reason) {
  const auto position = attempts_.find(attempt);
  if (position != attempts_.end()) {
    return position->second.state;
  }
  if (MayBeForgotten(attempt)) {
    return run_state::kUnknown;
  }
  attempts_[attempt] = {.state = run_state::kNotRun, .reason = reason, .key = {}};
  RetainSealed(now, attempt);
  return run_state::kNotRun;
}

refusal_reason run_ledger::RefusalOf(attempt_id attempt) const {
  const auto position = attempts_.find(attempt);
  return position == attempts_.end() ? refusal_reason::kNone : position->second.reason;
}

run_state run_ledger::StateOf(attempt_id attempt) const {
  const auto position = attempts_.find(attempt);
  if (position != attempts_.end()) {
    return position->second.state;
  }
  return MayBeForgotten(attempt) ? run_state::kUnknown : run_state::kNotRun;
}

void run_ledger::Expire(instant now) {
  while (!ended_.empty() && ended_.front().since + settings_.retention <= now) {
    Forget(ended_.front().attempt);
    ended_.pop_front();
  }
  while (!sealed_.empty() && sealed_.front().since + settings_.sealed_retention <= now) {
    attempts_.erase(sealed_.front().attempt);
    sealed_.pop_front();
  }
}

std::optional<instant> run_ledger::next_expiry() const {
  std::optional<instant> next;
  if (!ended_.empty()) {
    next = ended_.front().since + settings_.retention;
  }
  if (!sealed_.empty()) {
    const instant first_sealed = sealed_.front().since + settings_.sealed_retention;
    next = next ? std::min(*next, first_sealed) : first_sealed;
  }
  return next;
}

bool run_ledger::MayBeForgotten(attempt_id attempt) const {
  const auto position = forgotten_.find(attempt.request.incarnation);
  return position != forgotten_.end() && attempt.request.counter <= position->second;
}

void run_ledger::RetainSealed(instant now, attempt_id attempt) {
  sealed_.push_back({now, attempt});
}

void run_ledger::Forget(attempt_id attempt) {
  const auto position = attempts_.find(attempt);
  if (position == attempts_.end()) {
    return;
  }
  const auto key = keys_.find(position->second.key);
  if (key != keys_.end() && key->second == attempt) {
    keys_.erase(key);
  }
  std::uint64_t& newest = forgotten_[attempt.request.incarnation];
  newest = std::max(newest, attempt.request.counter);
  attempts_.erase(position);
}

}  // namespace jacinthspool
