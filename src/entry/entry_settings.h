#ifndef JACINTHSPOOL_ENTRY_ENTRY_SETTINGS_H_
#define JACINTHSPOOL_ENTRY_ENTRY_SETTINGS_H_

#include <map>
#include <string>

#include "jacinthspool/impl/entry_core.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Name and location of this entry.
struct entry_identity {
  std::string name;
  std::string data_centre;
};

/// \brief Derives the entry's policy from the settings in force.
///
/// The entry uses a subset of the members of a large prefill or decode pool, but
/// all members of a service pool, since an idempotency key may be assigned to
/// any of them.
[[nodiscard]] entry_policy PolicyFor(const settings_snapshot& settings,
                                     const entry_identity& entry);

/// \returns The address of each agent that the policy allows, by backend server.
[[nodiscard]] std::map<std::string, std::string> AgentsOf(const settings_snapshot& settings,
                                                          const entry_policy& policy);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_ENTRY_SETTINGS_H_
