#ifndef JACINTHSPOOL_AGENT_AGENT_SETTINGS_H_
#define JACINTHSPOOL_AGENT_AGENT_SETTINGS_H_

#include <string_view>

#include "jacinthspool/impl/agent_core.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \returns The kind of work that the backend servers of a pool do.
[[nodiscard]] work_kind KindOf(const pool_settings& pool);

/// \brief Derives the agent's policy from the settings in force.
/// \param backend Name of the agent's backend server.
/// \returns The policy; it admits no team if no pool contains the backend server.
[[nodiscard]] agent_policy PolicyFor(const settings_snapshot& settings, std::string_view backend);

/// \returns true if the operators' settings list the backend server as draining (`leaving`).
[[nodiscard]] bool IsLeaving(const settings_snapshot& settings, std::string_view backend);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_AGENT_SETTINGS_H_
