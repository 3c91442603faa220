#ifndef JACINTHSPOOL_ENTRY_ENTRY_SETTINGS_H_
#define JACINTHSPOOL_ENTRY_ENTRY_SETTINGS_H_

#include <map>
#include <string>

#include "jacinthspool/impl/entry_core.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Where this entry stands.
struct entry_place {
  std::string name;
  std::string data_centre;
};

/// \brief Makes the entry's policy out of the settings in force.
///
/// Of a large prefill or decode pool the entry uses a subset of the members; of
/// a service's pool all, since a key's home may be any of them.
[[nodiscard]] entry_policy PolicyFor(const settings_snapshot& settings, const entry_place& place);

/// \returns The address of each agent that the policy may choose, by backend server.
[[nodiscard]] std::map<std::string, std::string> AgentsOf(const settings_snapshot& settings,
                                                          const entry_policy& policy);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_ENTRY_SETTINGS_H_
