#include "src/entry/caller_tokens.h"

#include <sodium.h>
#include <strings.h>

namespace jacinthspool {
namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

caller_tokens::caller_tokens(const settings_snapshot& settings) {
  for (const auto& [name, team] : settings.teams) {
    for (const std::string& text : team->token_hashes) {
      team_hash known{.team = name, .hash = {}};
      std::size_t length = 0;
      const int failed = sodium_hex2bin(known.hash.data(), known.hash.size(), text.data(),
                                        text.size(), nullptr, &length, nullptr);
      if (failed == 0 && length == kHashBytes) {
        hashes_.push_back(std::move(known));
      }
    }
  }
}

std::optional<std::string> caller_tokens::TeamOf(std::string_view authorization) const {
  if (authorization.size() <= kScheme.size() ||
      strncasecmp(authorization.data(), kScheme.data(), kScheme.size()) != 0) {
    return std::nullopt;
  }
  const std::string_view token = authorization.substr(kScheme.size());
  token_hash hash{};
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(token.data()),
                     token.size(), nullptr, 0);
  std::optional<std::string> team;
  bool ambiguous = false;
  for (const team_hash& known : hashes_) {
    if (sodium_memcmp(hash.data(), known.hash.data(), hash.size()) == 0) {
      ambiguous = ambiguous || (team.has_value() && *team != known.team);
      team = known.team;
    }
  }
  return ambiguous ? std::nullopt : team;
}

}  // namespace jacinthspool
