#ifndef JACINTHSPOOL_IMPL_RENDEZVOUS_H_
#define JACINTHSPOOL_IMPL_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Rendezvous hashing: all processes with the same member list make the same choice.

namespace jacinthspool {

/// \returns The weight of a member for a key; the member with the largest weight is its home.
[[nodiscard]] std::uint64_t RendezvousWeight(std::uint64_t key, std::string_view member);

/// \returns The 64-bit hash of a text, for use as a key.
[[nodiscard]] std::uint64_t HashKey(std::string_view text, std::uint64_t seed = 0);

/// \brief Finds the home of a key.
/// \param members Names as published; their order does not matter.
/// \returns Index into `members`; nothing when the list is empty.
/// \remark When a member is added or removed, only the keys of that member move.
[[nodiscard]] std::optional<std::size_t> HomeOf(std::uint64_t key,
                                                std::span<const std::string> members);

/// \returns Indices into `members` by descending weight, the key's home first.
[[nodiscard]] std::vector<std::size_t> RendezvousOrder(std::uint64_t key,
                                                       std::span<const std::string> members);

/// \returns The rendezvous key of a team's idempotency key.
[[nodiscard]] std::uint64_t IdempotencyKeyHash(std::string_view team, std::string_view key);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_RENDEZVOUS_H_
