#ifndef JACINTHSPOOL_TESTS_STANDINS_PREFIX_CACHE_H_
#define JACINTHSPOOL_TESTS_STANDINS_PREFIX_CACHE_H_

#include <xxhash.h>

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace jacinthspool::standins {

/// \brief Prefix cache in blocks of tokens; evicts the least recently used block.
class prefix_cache {
 public:
  static constexpr std::uint32_t kBlockTokens = 64;

  explicit prefix_cache(std::uint32_t tokens) : max_blocks_(tokens / kBlockTokens) {}

  /// \brief Looks up the longest cached prefix of the prompt and inserts all its full blocks.
  /// \returns The length of the cached prefix, in tokens.
  std::uint32_t LookUpAndInsert(std::string_view prompt, std::size_t bytes_per_token) {
    const std::size_t block_bytes = kBlockTokens * bytes_per_token;
    std::uint64_t chain = 0;
    std::uint32_t found = 0;
    bool matching = true;
    for (std::size_t at = 0; at + block_bytes <= prompt.size(); at += block_bytes) {
      chain = XXH3_64bits_withSeed(prompt.data() + at, block_bytes, chain);
      matching = Touch(chain) && matching;
      found += matching ? kBlockTokens : 0;
    }
    return found;
  }

 private:
  bool Touch(std::uint64_t block) {
    const auto known = positions_.find(block);
    const bool found = known != positions_.end();
    if (found) {
      recent_.erase(known->second);
    }
    recent_.push_front(block);
    positions_[block] = recent_.begin();
    if (recent_.size() > max_blocks_) {
      positions_.erase(recent_.back());
      recent_.pop_back();
    }
    return found;
  }

  std::size_t max_blocks_;
  std::list<std::uint64_t> recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_PREFIX_CACHE_H_
