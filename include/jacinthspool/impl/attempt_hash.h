#ifndef JACINTHSPOOL_IMPL_ATTEMPT_HASH_H_
#define JACINTHSPOOL_IMPL_ATTEMPT_HASH_H_

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "jacinthspool/impl/ids.h"

namespace jacinthspool {

/// \brief Hash function of `attempt_id`.
struct attempt_hash {
  std::size_t operator()(const attempt_id& id) const noexcept {
    constexpr std::size_t kFactor = 31;
    return std::hash<request_id>{}(id.request) * kFactor + id.attempt;
  }
};

/// \brief Hash map keyed by attempt.
template <typename Value>
using attempt_map = std::unordered_map<attempt_id, Value, attempt_hash>;

/// \brief Hash set of attempts.
using attempt_set = std::unordered_set<attempt_id, attempt_hash>;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_ATTEMPT_HASH_H_
