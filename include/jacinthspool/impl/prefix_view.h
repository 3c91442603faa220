#ifndef JACINTHSPOOL_IMPL_PREFIX_VIEW_H_
#define JACINTHSPOOL_IMPL_PREFIX_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace jacinthspool {

/// \brief Estimates which prompt heads an engine has cached, from what it has served.
///
/// Keeps the most recently used hashes. The tokens of a block are learnt from
/// what the engine reports.
class prefix_view {
 public:
  explicit prefix_view(std::size_t capacity) : capacity_(capacity) {}

  /// \returns Estimated tokens of the prompt that need not be computed again.
  [[nodiscard]] std::uint32_t CachedTokens(const std::vector<std::uint64_t>& hashes,
                                           std::uint32_t prompt_tokens) const;

  /// \brief The engine has computed this prompt and reports what it had cached.
  void Served(const std::vector<std::uint64_t>& hashes, std::uint32_t cached_tokens);

  /// \brief The engine has restarted; nothing is cached.
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
