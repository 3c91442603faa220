#ifndef JACINTHSPOOL_IMPL_SUBSET_H_
#define JACINTHSPOOL_IMPL_SUBSET_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/entry_core.h"

namespace jacinthspool {

/// \brief Chooses the members of a pool that a process keeps connections to.
///
/// Deterministic: the same process name and the same published members give the
/// same subset. Members of the own data centre come first; members of others
/// allow work to spill over. A member that is added or removed changes at most
/// one element of the subset.
/// \param process Name of the process.
/// \param data_centre Data centre of the process.
/// \param limit Largest number of members to choose.
/// \param spill_over Number of members reserved for other data centres, if they have members.
/// \returns The chosen members, own data centre first.
[[nodiscard]] std::vector<pool_member> ChooseSubset(std::span<const pool_member> members,
                                                    std::string_view process,
                                                    std::string_view data_centre, std::size_t limit,
                                                    std::size_t spill_over);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_SUBSET_H_
