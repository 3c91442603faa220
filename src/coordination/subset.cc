#include "jacinthspool/impl/subset.h"

#include <algorithm>
#include <string>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

std::vector<pool_member> MembersByWeight(std::span<const pool_member> members, std::uint64_t key,
                                         std::string_view data_centre, bool same_data_centre) {
  std::vector<pool_member> selected;
  std::copy_if(members.begin(), members.end(), std::back_inserter(selected),
               [&](const pool_member& member) {
                 return (member.data_centre == data_centre) == same_data_centre;
               });
  std::sort(selected.begin(), selected.end(),
            [key](const pool_member& left, const pool_member& right) {
              const std::uint64_t left_weight = RendezvousWeight(key, left.backend);
              const std::uint64_t right_weight = RendezvousWeight(key, right.backend);
              return left_weight != right_weight ? left_weight > right_weight
                                                 : left.backend < right.backend;
            });
  return selected;
}

}  // namespace

std::vector<pool_member> ChooseSubset(std::span<const pool_member> members,
                                      std::string_view process, std::string_view data_centre,
                                      std::size_t limit, std::size_t spill_over) {
  const std::uint64_t key = HashKey(process);
  std::vector<pool_member> chosen = MembersByWeight(members, key, data_centre, true);
  std::vector<pool_member> others = MembersByWeight(members, key, data_centre, false);
  const std::size_t spill_over_places = std::min({spill_over, others.size(), limit});
  chosen.resize(std::min(chosen.size(), limit - spill_over_places));
  others.resize(std::min(others.size(), limit - chosen.size()));
  chosen.insert(chosen.end(), others.begin(), others.end());
  return chosen;
}

}  // namespace jacinthspool
