#ifndef JACINTHSPOOL_IMPL_FAIR_SHARE_H_
#define JACINTHSPOOL_IMPL_FAIR_SHARE_H_

#include <cstdint>
#include <string>
#include <unordered_map>

namespace jacinthspool {

/// \brief Weighted fair order between teams (start-time fair queueing).
///
/// Each team has a virtual time that advances with the work done for it,
/// divided by its weight. Who is behind goes first. A team that was idle
/// starts at the present, so that it cannot save up a claim.
class fair_share {
 public:
  /// \brief Sets a team's weight; a team without one has weight 1.
  void SetWeight(const std::string& team, double weight);

  /// \brief Forgets all weights; virtual times stay.
  void ClearWeights() { weights_.clear(); }

  /// \returns The virtual time at which the team's next work begins.
  [[nodiscard]] double StartOf(const std::string& team) const;

  /// \brief Charges work to the team.
  /// \returns The virtual start of that work: its place in the order.
  double Charge(const std::string& team, double work);

  /// \brief Takes back a charge for work that will not be done.
  void Refund(const std::string& team, double work);

  /// \brief Work with this virtual start is being served now.
  void Serve(double virtual_start);

  [[nodiscard]] double WeightOf(const std::string& team) const;
  /// \returns The team's part of all weights, in (0, 1].
  [[nodiscard]] double PartOf(const std::string& team) const;

 private:
  double now_ = 0;
  std::unordered_map<std::string, double> weights_;
  std::unordered_map<std::string, double> finish_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_FAIR_SHARE_H_
