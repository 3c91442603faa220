#ifndef JACINTHSPOOL_IMPL_PREFIX_VIEW_H_
#define JACINTHSPOOL_IMPL_PREFIX_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace jacinthspool {

/// \brief Estimates which prompt prefixes an engine has cached, from the prompts it has served.
///
/// Keeps the block hashes in an LRU list of bounded size. The number of tokens
/// per block is a moving average over the cache hits that the engine reports.
class prefix_view {
 public:
  explicit prefix_view(std::size_t capacity) : capacity_(capacity) {}

  /// \returns Estimated number of prompt tokens that are cached.
  [[nodiscard]] std::uint32_t CachedTokens(const std::vector<std::uint64_t>& hashes,
                                           std::uint32_t prompt_tokens) const;

  /// \brief Records a prompt that the engine has served.
  /// \param cached_tokens Cached tokens as reported by the engine.
  void RecordServed(const std::vector<std::uint64_t>& hashes, std::uint32_t cached_tokens);

  /// \brief Empties the estimate after an engine restart.
  void Clear();

 private:
  [[nodiscard]] std::size_t MatchedBlocks(const std::vector<std::uint64_t>& hashes) const;
  void Use(std::uint64_t hash);

  std::size_t capacity_;
  double block_tokens_ = 256;
  std::list<std::uint64_t> by_use_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_PREFIX_VIEW_H_
