#ifndef JACINTHSPOOL_SETTINGS_GATEWAY_FIGURES_H_
#define JACINTHSPOOL_SETTINGS_GATEWAY_FIGURES_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Checks the numbers of a gateway's or sidecar's settings, which the platform fills in at
/// every start and which all have a value that is safe without them.
///
/// One that cannot be used is added to `found` and replaced: by its default, or `key_bound_ms`,
/// whose default is the weakest, by the default of `change_bound_ms`.
/// \param process Settings of a process, as JSON; other members are not looked at.
void ReplaceUnusableFigures(nlohmann::json& process, std::string_view place, findings& found);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_GATEWAY_FIGURES_H_
