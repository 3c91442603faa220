#include "jacinthspool/impl/fair_share.h"

#include <algorithm>

namespace jacinthspool {

void fair_share::SetWeight(const std::string& team, double weight) {
  constexpr double kMinWeight = 0.01;
  weights_[team] = std::max(weight, kMinWeight);
}

double fair_share::StartOf(const std::string& team) const {
  const auto position = finish_.find(team);
  return position == finish_.end() ? now_ : std::max(now_, position->second);
}

double fair_share::Charge(const std::string& team, double work) {
  const double start = StartOf(team);
  finish_[team] = start + work / WeightOf(team);
  return start;
}

void fair_share::Refund(const std::string& team, double work) {
  const auto position = finish_.find(team);
  if (position != finish_.end()) {
    position->second -= work / WeightOf(team);
  }
}

void fair_share::AdvanceTo(double virtual_start) { now_ = std::max(now_, virtual_start); }

double fair_share::WeightOf(const std::string& team) const {
  const auto position = weights_.find(team);
  return position == weights_.end() ? 1.0 : position->second;
}

double fair_share::ShareOf(const std::string& team) const {
  double sum = weights_.contains(team) ? 0.0 : 1.0;
  for (const auto& [name, weight] : weights_) {
    sum += weight;
  }
  return WeightOf(team) / sum;
}

}  // namespace jacinthspool
