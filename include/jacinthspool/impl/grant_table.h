#ifndef JACINTHSPOOL_IMPL_GRANT_TABLE_H_
#define JACINTHSPOOL_IMPL_GRANT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "jacinthspool/impl/attempt_hash.h"
#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief The outstanding grants of one agent incarnation.
///
/// A grant belongs to one attempt, can be redeemed once, and expires on the
/// owner's clock. An attempt has at most one grant at a time.
///
/// \code
/// grant_table grants(incarnation);
/// grant_id grant = grants.Issue(now, attempt, seconds(2));
/// if (grants.Redeem(now, attempt, grant)) Run(attempt);
/// \endcode
class grant_table {
 public:
  explicit grant_table(incarnation_id incarnation) : incarnation_(incarnation) {}

  /// \brief Gives the attempt its grant; a repeated call returns the same one, alive for longer.
  /// \remark A repeated call never shortens the life of the grant.
  grant_id Issue(instant now, attempt_id attempt, microseconds lifetime);

  /// \brief Uses the grant up.
  /// \returns true when it is this attempt's, unused and alive at `now`.
  [[nodiscard]] bool Redeem(instant now, attempt_id attempt, grant_id grant);

  /// \brief Drops the attempt's grant, whatever its number.
  /// \returns true when there was one.
  bool Drop(attempt_id attempt);

  /// \returns The attempts whose grants have expired; they are dropped.
  [[nodiscard]] std::vector<attempt_id> Expire(instant now);

  /// \returns The grant of the attempt, if it has one.
  [[nodiscard]] std::optional<grant_id> Find(attempt_id attempt) const;

  /// \returns When the attempt's grant ends, if it has one.
  [[nodiscard]] std::optional<instant> ExpiryOf(attempt_id attempt) const;

  /// \returns When the next grant expires, if any is outstanding.
  [[nodiscard]] std::optional<instant> next_expiry() const;

  [[nodiscard]] std::size_t size() const { return grants_.size(); }

 private:
  struct entry {
    grant_id grant;
    instant expires;
  };

  incarnation_id incarnation_;
  std::uint64_t issued_ = 0;
  attempt_map<entry> grants_;
  std::set<std::pair<instant, attempt_id>> by_expiry_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_GRANT_TABLE_H_
