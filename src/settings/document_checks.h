#ifndef JACINTHSPOOL_SETTINGS_DOCUMENT_CHECKS_H_
#define JACINTHSPOOL_SETTINGS_DOCUMENT_CHECKS_H_

#include <string_view>

#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Adds each fault of an operators' document that its schema can't express.
void CheckOperators(const operator_settings& operators, std::string_view place, findings& found);

/// \brief Adds each fault of a team's document that its schema can't express.
void CheckTeam(const team_settings& team, std::string_view place, findings& found);

/// \brief Adds each fault of process settings that their schema can't express.
void CheckProcess(const process_settings& process, std::string_view place, findings& found);

/// \brief Creates the optional members of operators' settings that a document omits.
void FillDefaults(operator_settings& operators);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_DOCUMENT_CHECKS_H_
