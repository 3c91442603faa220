#ifndef JACINTHSPOOL_ROUTING_ROUTE_TABLE_H_
#define JACINTHSPOOL_ROUTING_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/routing/configuration.h"

namespace jacinthspool {

/// \brief Finds routes of the active configuration.
///
/// A configuration becomes active only when its version is above the active one's,
/// so that a late or restored copy cannot revert it.
class route_table {
 public:
  /// \returns true when the configuration is now active.
  bool Apply(std::shared_ptr<const forward_configuration> next);

  /// \returns The active configuration; null before the first.
  [[nodiscard]] const std::shared_ptr<const forward_configuration>& configuration() const {
    return configuration_;
  }

  /// \param host As in the `Host` header; a port is ignored.
  /// \param target Path and query.
  /// \returns The route of that host whose prefix is the longest match of the path, or null.
  [[nodiscard]] std::shared_ptr<const forward_route> Find(std::string_view host,
                                                          std::string_view target) const;

 private:
  std::shared_ptr<const forward_configuration> configuration_;
  /// By host; longest prefix first. Pointers into `configuration_`.
  std::map<std::string, std::vector<const forward_route*>, std::less<>> by_host_;
};

/// \returns The service for a request, a function of `key` that selects each service in proportion
/// to its weight; null when the route has no target of positive weight.
[[nodiscard]] const std::string* ServiceOf(const forward_route& route, std::uint64_t key);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_ROUTE_TABLE_H_
