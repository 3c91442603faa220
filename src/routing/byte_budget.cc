#include "jacinthspool/routing/byte_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace jacinthspool {
namespace {

/// The budget is this part of the process's memory; the rest is for its code and state, for buffers
/// of the kernel, and for what the allocator cannot reuse.
constexpr std::size_t kMemoryDivisor = 4;
/// A caller may always have this much unsent.
constexpr std::size_t kMinUnsentBytes = 16U << 10U;
/// A caller may have this much unsent while the memory limit is not known.
constexpr std::size_t kMaxUnsentBytes = 128U << 10U;
/// A body up to this size is always read.
constexpr std::uint64_t kSmallBodyBytes = 16U << 10U;
/// An answer up to this size is buffered until it is complete, so that a truncated one can be
/// retried; a longer one is forwarded as it arrives.
constexpr std::size_t kMaxBufferedAnswerBytes = 64U << 10U;
/// No valid event of a stream is longer; a stream with a longer one counts as truncated.
constexpr std::size_t kMaxEventBytes = 256U << 10U;
/// While incomplete answers together hold more than this, one of them may have no more than
/// `kMaxCrowdedBytes`.
constexpr std::size_t kMaxIncompleteBytes = 16U << 20U;
constexpr std::size_t kMaxCrowdedBytes = 8U << 10U;

}  // namespace

std::string_view ToString(held_kind kind) {
  switch (kind) {
    case held_kind::kIncoming:
      return "incoming";
    case held_kind::kRequest:
      return "request";
    case held_kind::kIncomplete:
      return "incomplete";
    case held_kind::kUnsent:
      return "unsent";
  }
  return "";
}

void byte_budget::holding::Set(std::size_t bytes) {
  budget_.Set(kind_, budget_.held(kind_) + bytes - std::exchange(bytes_, bytes));
}

void byte_budget::SetMemoryLimit(std::uint32_t megabytes) {
  limit_ = megabytes == 0
               ? std::nullopt
               : std::optional((static_cast<std::size_t>(megabytes) << 20U) / kMemoryDivisor);
}

std::size_t byte_budget::total() const {
  return std::accumulate(held_.begin(), held_.end(), std::size_t{0});
}

std::size_t byte_budget::room() const { return *limit_ - std::min(*limit_, total()); }

bool byte_budget::MayReadAnswer(std::size_t unsent) const {
  // No answer has more than what is left for all others, so the longest is the first to stop.
  return unsent <= (limit_ ? std::max(kMinUnsentBytes, room()) : kMaxUnsentBytes);
}

bool byte_budget::MayBeginBody(std::optional<std::uint64_t> length) const {
  // The whole length counts from its beginning, so that a body that has begun need not wait.
  return !limit_ || (length && *length <= kSmallBodyBytes) || total() == 0 ||
         room() >= length.value_or(kSmallBodyBytes);
}

bool byte_budget::crowded() const {
  const std::size_t most =
      limit_ ? std::min(*limit_ / 2, kMaxIncompleteBytes) : kMaxIncompleteBytes;
  return held(held_kind::kIncomplete) > most;
}

std::size_t byte_budget::MaxIncompleteBody() const {
  return crowded() ? kMaxCrowdedBytes : kMaxBufferedAnswerBytes;
}

std::size_t byte_budget::MaxIncompleteEvent() const {
  return crowded() ? kMaxCrowdedBytes : kMaxEventBytes;
}

}  // namespace jacinthspool
