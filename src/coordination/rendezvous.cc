#include "jacinthspool/impl/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace jacinthspool {
namespace {

std::vector<std::uint64_t> Weights(std::uint64_t key, std::span<const std::string> members) {
  std::vector<std::uint64_t> weights;
  weights.reserve(members.size());
  for (const std::string& member : members) {
    weights.push_back(RendezvousWeight(key, member));
  }
  return weights;
}

}  // namespace

std::uint64_t HashKey(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t RendezvousWeight(std::uint64_t key, std::string_view member) {
  return HashKey(member, key);
}

std::optional<std::size_t> HomeOf(std::uint64_t key, std::span<const std::string> members) {
  if (members.empty()) {
    return std::nullopt;
  }
  return RendezvousOrder(key, members).front();
}

std::vector<std::size_t> RendezvousOrder(std::uint64_t key, std::span<const std::string> members) {
  const std::vector<std::uint64_t> weights = Weights(key, members);
  std::vector<std::size_t> order(members.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  // Equal weights are ordered by name, so that the order of `members` does not matter.
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return weights[left] != weights[right] ? weights[left] > weights[right]
                                           : members[left] < members[right];
  });
  return order;
}

std::uint64_t IdempotencyKeyHash(std::string_view team, std::string_view key) {
  return HashKey(key, HashKey(team));
}

}  // namespace jacinthspool
