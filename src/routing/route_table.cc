#include "jacinthspool/routing/route_table.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {

bool route_table::Apply(std::shared_ptr<const forward_configuration> next) {
  if (configuration_ && next->version <= configuration_->version) {
    return false;
  }
  configuration_ = std::move(next);
  by_host_.clear();
  for (const forward_route& route : configuration_->routes) {
    by_host_[route.host].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const forward_route* left, const forward_route* right) {
                       return left->prefix.size() > right->prefix.size();
                     });
  }
  return true;
}

std::shared_ptr<const forward_route> route_table::Find(std::string_view host,
                                                       std::string_view target) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const std::string_view path = target.substr(0, target.find('?'));
  const auto routes = by_host_.find(name);
  if (routes == by_host_.end()) {
    return nullptr;
  }
  for (const forward_route* route : routes->second) {
    if (path.starts_with(route->prefix)) {
      return {configuration_, route};
    }
  }
  return nullptr;
}

const std::string* ServiceOf(const forward_route& route, std::uint64_t key) {
  std::uint64_t total = 0;
  for (const route_target& target : route.targets) {
    total += target.weight;
  }
  if (total == 0) {
    return nullptr;
  }
  std::uint64_t place = key % total;
  for (const route_target& target : route.targets) {
    if (place < target.weight) {
      return &target.service;
    }
    place -= target.weight;
  }
  return nullptr;
}

}  // namespace jacinthspool
