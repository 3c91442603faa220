#ifndef JACINTHSPOOL_ROUTING_TENANTS_H_
#define JACINTHSPOOL_ROUTING_TENANTS_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

/// \file
/// \brief Tenants: who may send requests, by API key, and how much.

namespace jacinthspool {

/// \brief Digest of an API key, equal in all processes. The key itself is not kept.
struct key_digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the rewritten comparison.
  friend auto operator<=>(const key_digest&, const key_digest&) = default;
};

/// \returns The digest; its time depends on the length of the key only.
[[nodiscard]] key_digest DigestOfKey(std::string_view key);

/// \returns The first digits of the digest in hexadecimal, for the log.
[[nodiscard]] std::string ToString(const key_digest& digest);

/// \brief What a tenant's limit counts.
enum class limit_unit {
  kRequests,
  kTokens,  ///< Prompt and output tokens of a request.
};

/// \brief What a tenant may send to all gateways together.
struct tenant_limit {
  double per_second = 0;  ///< 0: no limit.
  double burst = 0;
  limit_unit unit = limit_unit::kRequests;
  std::uint64_t plain_tokens = 0;  ///< Price in tokens of a request without a token count.

  friend bool operator==(const tenant_limit&, const tenant_limit&) = default;
};

struct tenant {
  std::string name = {};
  std::vector<key_digest> keys = {};
  std::optional<std::uint32_t> priority = {};  ///< Takes precedence over the route's.
  tenant_limit limit = {};
};

/// \brief The tenants of a configuration that has any.
struct tenant_list {
  std::vector<tenant> tenants = {};
  std::uint32_t unreadable = 0;  ///< Entries that were left out.
};

/// \brief Rank of a request among those that compete with it; the lowest goes first.
struct request_priority {
  std::uint32_t tenant = 0;  ///< The tenant's, which counts first; otherwise the route's.
  std::uint32_t route = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the rewritten comparison.
  friend auto operator<=>(const request_priority&, const request_priority&) = default;
};

/// \brief What is known of a request's caller, once its key has been found.
struct caller_identity {
  std::string tenant = {};
  key_digest key = {};
  request_priority priority = {};
  double price = 0;  ///< In units of the tenant's limit.
};

/// \returns What a request takes from the limit.
/// \param tokens The prompt and output tokens that it states; nothing: it states none.
[[nodiscard]] double PriceOf(const tenant_limit& limit, std::optional<std::uint64_t> tokens);

/// \brief Finds tenants by key.
class tenant_directory {
 public:
  /// \param list Null: no tenants are configured, and no request needs a key.
  explicit tenant_directory(std::shared_ptr<const tenant_list> list = nullptr);

  /// \returns true when requests need a key, except on public routes.
  [[nodiscard]] bool configured() const { return list_ != nullptr; }

  /// \returns The tenant that holds the key, the first in the list if there are several; null when
  /// there is none.
  [[nodiscard]] const tenant* Find(const key_digest& key) const;
  /// \returns The tenant of that name, or null.
  [[nodiscard]] const tenant* FindByName(std::string_view name) const;

 private:
  struct digest_hash {
    std::size_t operator()(const key_digest& digest) const { return digest.low; }
  };
  std::shared_ptr<const tenant_list> list_;
  std::unordered_map<key_digest, const tenant*, digest_hash> by_key_;
  std::unordered_map<std::string_view, const tenant*> by_name_;
};

/// \brief The request needs no key.
struct key_not_needed {};
/// \brief No key was sent, or one that no tenant holds.
struct key_rejected {};
using identification = std::variant<key_not_needed, key_rejected, caller_identity>;

/// \brief What a request states about its caller.
struct identification_request {
  bool public_route = false;
  std::uint32_t route_priority = 0;
  std::optional<key_digest> key = {};
  std::optional<std::uint64_t> tokens = {};  ///< Prompt and output tokens, where stated.
};

[[nodiscard]] identification Identify(const tenant_directory& directory,
                                      const identification_request& request);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_TENANTS_H_
