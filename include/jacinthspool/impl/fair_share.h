#ifndef JACINTHSPOOL_IMPL_FAIR_SHARE_H_
#define JACINTHSPOOL_IMPL_FAIR_SHARE_H_

#include <cstdint>
#include <string>
#include <unordered_map>

namespace jacinthspool {

/// \brief Weighted start-time fair queueing between teams.
///
/// Each team has a virtual time that advances by its work divided by its
/// weight; the team with the lowest virtual time is served first. An idle team
/// restarts at the current virtual time, so that it accumulates no credit.
class fair_share {
 public:
  /// \brief Sets a team's weight; the default is 1.
  void SetWeight(const std::string& team, double weight);

  /// \brief Resets all weights to the default; virtual times are kept.
  void ClearWeights() { weights_.clear(); }

  /// \returns The virtual start time of the team's next work.
  [[nodiscard]] double StartOf(const std::string& team) const;

  /// \brief Charges work to the team, in any unit that all charges share.
  /// \returns The virtual start time of that work, which defines its position in the order.
  double Charge(const std::string& team, double work);

  /// \brief Reverts a charge for work that was withdrawn.
  void Refund(const std::string& team, double work);

  /// \brief Advances the current virtual time to that of the work being served.
  void AdvanceTo(double virtual_start);

  [[nodiscard]] double WeightOf(const std::string& team) const;
  /// \returns The team's fraction of the sum of all weights, in (0, 1].
  [[nodiscard]] double ShareOf(const std::string& team) const;

 private:
  double now_ = 0;
  std::unordered_map<std::string, double> weights_;
  std::unordered_map<std::string, double> finish_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_FAIR_SHARE_H_
