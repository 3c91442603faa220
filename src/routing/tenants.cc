#include "jacinthspool/routing/tenants.h"

#include <sodium.h>

#include <array>
#include <cinttypes>
#include <cstdio>
#include <cstring>
#include <utility>

namespace jacinthspool {
namespace {

/// Separates these digests from any other use of the same hash.
constexpr std::string_view kDigestContext = "jacinthspool tenant key 1";

}  // namespace

key_digest DigestOfKey(std::string_view key) {
  static_assert(sizeof(key_digest) == crypto_generichash_BYTES_MIN);
  static_assert(kDigestContext.size() >= crypto_generichash_KEYBYTES_MIN);
  std::array<unsigned char, sizeof(key_digest)> bytes{};
  crypto_generichash(bytes.data(), bytes.size(), reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), reinterpret_cast<const unsigned char*>(kDigestContext.data()),
                     kDigestContext.size());
  key_digest digest;
  std::memcpy(&digest.high, bytes.data(), sizeof(digest.high));
  std::memcpy(&digest.low, bytes.data() + sizeof(digest.high), sizeof(digest.low));
  return digest;
}

std::string ToString(const key_digest& digest) {
  char text[9];
  std::snprintf(text, sizeof(text), "%08" PRIx32, static_cast<std::uint32_t>(digest.high >> 32U));
  return text;
}

double PriceOf(const tenant_limit& limit, std::optional<std::uint64_t> tokens) {
  return limit.unit == limit_unit::kRequests
             ? 1
             : static_cast<double>(tokens.value_or(limit.plain_tokens));
}

tenant_directory::tenant_directory(std::shared_ptr<const tenant_list> list)
    : list_(std::move(list)) {
  if (!list_) {
    return;
  }
  by_name_.reserve(list_->tenants.size());
  by_key_.reserve(2 * list_->tenants.size());
  for (const tenant& each : list_->tenants) {
    by_name_.emplace(each.name, &each);
    for (const key_digest& key : each.keys) {
      by_key_.emplace(key, &each);
    }
  }
}

const tenant* tenant_directory::Find(const key_digest& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const tenant* tenant_directory::FindByName(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

identification Identify(const tenant_directory& directory, const identification_request& request) {
  if (!directory.configured() || request.public_route) {
    return key_not_needed{};
  }
  const tenant* holder = request.key ? directory.Find(*request.key) : nullptr;
  if (holder == nullptr) {
    return key_rejected{};
  }
  return caller_identity{.tenant = holder->name,
                         .key = *request.key,
                         .priority = {.tenant = holder->priority.value_or(request.route_priority),
                                      .route = request.route_priority},
                         .price = PriceOf(holder->limit, request.tokens)};
}

}  // namespace jacinthspool
