#ifndef JACINTHSPOOL_AGENT_AGENT_SETTINGS_H_
#define JACINTHSPOOL_AGENT_AGENT_SETTINGS_H_

#include <string_view>

#include "jacinthspool/impl/agent_core.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \returns The kind of work of a pool.
[[nodiscard]] work_kind KindOf(const pool_settings& pool);

/// \brief Makes the agent's policy out of the settings in force.
/// \param backend Name of the agent's backend server.
/// \returns A policy that lets no team in when no pool holds the backend server.
[[nodiscard]] agent_policy PolicyFor(const settings_snapshot& settings, std::string_view backend);

/// \returns true when the operators' settings say that the backend server is leaving.
[[nodiscard]] bool IsLeaving(const settings_snapshot& settings, std::string_view backend);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_AGENT_SETTINGS_H_
