#ifndef JACINTHSPOOL_IMPL_IDS_H_
#define JACINTHSPOOL_IMPL_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace jacinthspool {

/// \brief Identifies one run of a process; a restarted process gets a new number.
using incarnation_id = std::uint64_t;

/// \brief Fleet-wide identifier of an accepted request.
struct request_id {
  incarnation_id incarnation = 0;  ///< The entry that accepted the request.
  std::uint64_t counter = 0;       ///< Counts that entry's requests.

  // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the rewritten comparison.
  friend auto operator<=>(const request_id&, const request_id&) = default;
};

/// \brief Identifier of a single-use grant of an agent incarnation.
struct grant_id {
  incarnation_id incarnation = 0;  ///< The agent that issued the grant.
  std::uint64_t counter = 0;       ///< Counts that agent's grants.

  // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the rewritten comparison.
  friend auto operator<=>(const grant_id&, const grant_id&) = default;
};

/// \brief Number of an attempt within its request, from 1.
using attempt_number = std::uint32_t;

/// \brief Identifies one attempt of a request, the unit that agents run.
struct attempt_id {
  request_id request;
  attempt_number attempt = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the rewritten comparison.
  friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// \brief Text form of a request id for logs: incarnation in hex, a dash, the counter.
std::string ToString(request_id id);

/// \brief Parses the text form of a request id.
/// \returns true and fills `id` when `text` is well formed.
bool ParseRequestId(const std::string& text, request_id& id);

}  // namespace jacinthspool

template <>
struct std::hash<jacinthspool::request_id> {
  std::size_t operator()(const jacinthspool::request_id& id) const noexcept {
    constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15U;
    return static_cast<std::size_t>((id.incarnation * kMix) ^ id.counter);
  }
};

#endif  // JACINTHSPOOL_IMPL_IDS_H_
