#ifndef JACINTHSPOOL_IMPL_SUBSET_H_
#define JACINTHSPOOL_IMPL_SUBSET_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/entry_core.h"

namespace jacinthspool {

/// \brief The members of a pool that one process keeps connections to.
///
/// Deterministic: the same process and the same published members give the
/// same subset. Its own data centre comes first; others fill it up, so that work can
/// spill over. A member that joins or leaves changes at most one place.
/// \param process Name of the process that chooses.
/// \param data_centre Where it runs.
/// \param limit Most members to choose.
/// \param spill_over Places kept for other data centres when there are any.
/// \returns The chosen members, own data centre first.
[[nodiscard]] std::vector<pool_member> ChooseSubset(std::span<const pool_member> members,
                                                    std::string_view process,
                                                    std::string_view data_centre, std::size_t limit,
                                                    std::size_t spill_over);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_SUBSET_H_
