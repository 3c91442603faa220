#ifndef JACINTHSPOOL_IMPL_ATTEMPT_HASH_H_
#define JACINTHSPOOL_IMPL_ATTEMPT_HASH_H_

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "jacinthspool/impl/ids.h"

namespace jacinthspool {

/// \brief Hashes an attempt for the library's tables.
struct attempt_hash {
  std::size_t operator()(const attempt_id& id) const noexcept {
    constexpr std::size_t kFactor = 31;
    return std::hash<request_id>{}(id.request) * kFactor + id.attempt;
  }
};

/// \brief A table keyed by attempt.
template <typename Value>
using attempt_map = std::unordered_map<attempt_id, Value, attempt_hash>;

/// \brief A set of attempts.
using attempt_set = std::unordered_set<attempt_id, attempt_hash>;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_ATTEMPT_HASH_H_
