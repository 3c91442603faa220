#ifndef JACINTHSPOOL_ENTRY_CALLER_TOKENS_H_
#define JACINTHSPOOL_ENTRY_CALLER_TOKENS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Finds a caller's team by the hash of its bearer token.
class caller_tokens {
 public:
  explicit caller_tokens(const settings_snapshot& settings);

  /// \param authorization Value of the `Authorization` header.
  /// \returns The team, or nothing if no team or more than one team lists the token's hash.
  /// \remark All hashes are compared, each in constant time, also after a match.
  [[nodiscard]] std::optional<std::string> TeamOf(std::string_view authorization) const;

 private:
  static constexpr std::size_t kHashBytes = 32;
  using token_hash = std::array<std::uint8_t, kHashBytes>;
  struct team_hash {
    std::string team;
    token_hash hash;
  };
  std::vector<team_hash> hashes_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_CALLER_TOKENS_H_
