#include "jacinthspool/impl/prefix_view.h"

#include <algorithm>

namespace jacinthspool {
namespace {

constexpr double kLearningRate = 0.1;

}  // namespace

std::size_t prefix_view::MatchedBlocks(const std::vector<std::uint64_t>& hashes) const {
  const auto unknown = std::find_if(hashes.begin(), hashes.end(),
                                    [&](std::uint64_t hash) { return !blocks_.contains(hash); });
  return static_cast<std::size_t>(unknown - hashes.begin());
}

std::uint32_t prefix_view::CachedTokens(const std::vector<std::uint64_t>& hashes,
                                        std::uint32_t prompt_tokens) const {
  const double tokens = static_cast<double>(MatchedBlocks(hashes)) * block_tokens_;
  return static_cast<std::uint32_t>(std::min(tokens, static_cast<double>(prompt_tokens)));
}

void prefix_view::RecordServed(const std::vector<std::uint64_t>& hashes,
                               std::uint32_t cached_tokens) {
  const std::size_t matched = MatchedBlocks(hashes);
  if (matched > 0) {
    const double seen = static_cast<double>(cached_tokens) / static_cast<double>(matched);
    block_tokens_ += kLearningRate * (seen - block_tokens_);
  }
  // The head is touched last, so that the tail of a prefix is evicted before its head.
  for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
    Use(*hash);
  }
}

void prefix_view::Clear() {
  by_use_.clear();
  blocks_.clear();
}

void prefix_view::Use(std::uint64_t hash) {
  const auto known = blocks_.find(hash);
  if (known != blocks_.end()) {
    by_use_.splice(by_use_.begin(), by_use_, known->second);
    return;
  }
  by_use_.push_front(hash);
  blocks_.emplace(hash, by_use_.begin());
  if (blocks_.size() > capacity_) {
    blocks_.erase(by_use_.back());
    by_use_.pop_back();
  }
}

}  // namespace jacinthspool
