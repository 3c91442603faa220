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
/// A grant belongs to one attempt, can be redeemed once and expires on the
/// agent's clock. An attempt has at most one grant at a time.
///
/// \code
/// grant_table grants(incarnation);
/// grant_id grant = grants.Issue(now, attempt, seconds(2));
/// if (grants.Redeem(now, attempt, grant)) Run(attempt);
/// \endcode
class grant_table {
 public:
  explicit grant_table(incarnation_id incarnation) : incarnation_(incarnation) {}

  /// \brief Issues the attempt's grant; a repeated call returns the same grant and extends it.
  /// \remark A repeated call never moves the expiry to an earlier time.
  grant_id Issue(instant now, attempt_id attempt, microseconds lifetime);

  /// \brief Consumes the grant.
  /// \returns true when the grant belongs to the attempt, is unused and has not expired at `now`.
  [[nodiscard]] bool Redeem(instant now, attempt_id attempt, grant_id grant);

  /// \brief Removes the attempt's grant, whatever its number.
  /// \returns true when the attempt had a grant.
  bool Drop(attempt_id attempt);

  /// \brief Removes expired grants.
  /// \returns The attempts that they belonged to.
  [[nodiscard]] std::vector<attempt_id> Expire(instant now);

  /// \returns The attempt's grant, if it has one.
  [[nodiscard]] std::optional<grant_id> Find(attempt_id attempt) const;

  /// \returns When the attempt's grant expires, if it has one.
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
