#ifndef JACINTHSPOOL_IMPL_RETRY_BUDGET_H_
#define JACINTHSPOOL_IMPL_RETRY_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Limits each team's retries to a share of its successes.
///
/// A failing pool then sees at most that much more work than was asked for. A
/// floor lets a quiet team retry too.
///
/// \code
/// retry_budget budget({.percent = 10});
/// budget.Earn(now, "turnevo");
/// if (budget.Draw(now, "turnevo")) Retry();
/// \endcode
class retry_budget {
 public:
  struct options {
    std::uint32_t percent = 10;             ///< Retries earned by a hundred successes.
    double floor = 3;                       ///< Retries that a quiet team may make.
    microseconds floor_every = seconds(5);  ///< Time in which one retry of the floor comes back.
    double limit = 100;                     ///< Retries that can be saved up.
  };

  explicit retry_budget(options settings) : settings_(settings) {}

  /// \brief Counts a success of the team.
  void Earn(instant now, const std::string& team);

  /// \brief Takes one retry out of the team's budget.
  /// \returns false when there is none; nothing is taken then.
  [[nodiscard]] bool Draw(instant now, const std::string& team);

  /// \returns Retries that the team has left.
  [[nodiscard]] double left(instant now, const std::string& team) const;

  /// \brief Changes the share; what has been earned stays.
  void set_percent(std::uint32_t percent) { settings_.percent = percent; }

 private:
  struct account {
    double retries = 0;
    instant refilled{};
  };

  [[nodiscard]] account Refilled(instant now, const account& before) const;
  account& AccountOf(instant now, const std::string& team);

  options settings_;
  std::map<std::string, account> accounts_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_RETRY_BUDGET_H_
