#ifndef JACINTHSPOOL_ENTRY_PROMPT_PREFIX_H_
#define JACINTHSPOOL_ENTRY_PROMPT_PREFIX_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace jacinthspool {

/// \brief Chained hashes over the whole blocks of a prompt's head.
///
/// Two prompts have their first n hashes in common when they have their first n
/// blocks, team and workspace in common.
[[nodiscard]] std::vector<std::uint64_t> PrefixHashes(std::string_view team,
                                                      std::string_view workspace,
                                                      std::string_view prompt);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_PROMPT_PREFIX_H_
