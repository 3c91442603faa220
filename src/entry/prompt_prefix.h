#ifndef JACINTHSPOOL_ENTRY_PROMPT_PREFIX_H_
#define JACINTHSPOOL_ENTRY_PROMPT_PREFIX_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace jacinthspool {

/// \brief Chained hashes over the leading complete 1 KiB blocks of a prompt, at most 16.
///
/// The first n hashes of two prompts are equal if their team, workspace and
/// first n blocks are equal.
[[nodiscard]] std::vector<std::uint64_t> PrefixHashes(std::string_view team,
                                                      std::string_view workspace,
                                                      std::string_view prompt);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_PROMPT_PREFIX_H_
