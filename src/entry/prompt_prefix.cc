#include "src/entry/prompt_prefix.h"

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

constexpr std::size_t kBlockBytes = 1024;
constexpr std::size_t kMaxBlocks = 16;

}  // namespace

std::vector<std::uint64_t> PrefixHashes(std::string_view team, std::string_view workspace,
                                        std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t chained = HashKey(workspace, HashKey(team));
  while (prompt.size() >= kBlockBytes && hashes.size() < kMaxBlocks) {
    chained = HashKey(prompt.substr(0, kBlockBytes), chained);
    hashes.push_back(chained);
    prompt.remove_prefix(kBlockBytes);
  }
  return hashes;
}

}  // namespace jacinthspool
