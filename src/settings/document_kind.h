#ifndef JACINTHSPOOL_SETTINGS_DOCUMENT_KIND_H_
#define JACINTHSPOOL_SETTINGS_DOCUMENT_KIND_H_

#include <optional>
#include <string_view>

#include "src/settings/settings.h"

namespace jacinthspool {

enum class document_kind { kProcess, kOperators, kTeam };

/// \brief Tells by its members what a document holds.
/// \returns Nothing, and a finding, when they don't tell.
std::optional<document_kind> KindOfDocument(std::string_view text, std::string_view place,
                                            findings& found);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_DOCUMENT_KIND_H_
