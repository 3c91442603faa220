#ifndef JACINTHSPOOL_IMPL_RETRY_BUDGET_H_
#define JACINTHSPOOL_IMPL_RETRY_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Limits each team's retries to a percentage of its successes.
///
/// This bounds the extra load that retries put on a failing pool. A minimum
/// that refills with time allows retries for teams with little traffic.
///
/// \code
/// retry_budget budget({.percent = 10});
/// budget.RecordSuccess(now, "turnevo");
/// if (budget.TryConsume(now, "turnevo")) Retry();
/// \endcode
class retry_budget {
 public:
  struct options {
    std::uint32_t percent = 10;                       ///< Retries added per hundred successes.
    double floor = 3;                                 ///< Minimum to which the budget refills.
    microseconds floor_refill_interval = seconds(5);  ///< Refill interval of one retry.
    double limit = 100;                               ///< Largest budget, in retries.
  };

  explicit retry_budget(options settings) : settings_(settings) {}

  /// \brief Adds the share of a retry that a success is worth.
  void RecordSuccess(instant now, const std::string& team);

  /// \brief Consumes one retry of the team's budget.
  /// \returns false, without a change, when the budget is below one retry.
  [[nodiscard]] bool TryConsume(instant now, const std::string& team);

  /// \returns The remaining budget of the team, in retries.
  [[nodiscard]] double available(instant now, const std::string& team) const;

  /// \brief Changes the percentage; the accumulated budget is kept.
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
