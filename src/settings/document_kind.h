#ifndef JACINTHSPOOL_SETTINGS_DOCUMENT_KIND_H_
#define JACINTHSPOOL_SETTINGS_DOCUMENT_KIND_H_

#include <optional>
#include <string_view>

#include "src/settings/settings.h"

namespace jacinthspool {

enum class document_kind { kProcess, kOperators, kTeam };

/// \brief Determines the kind of a document from its members.
/// \returns Nothing, with a finding added, when no member identifies the kind.
std::optional<document_kind> DetectDocumentKind(std::string_view text, std::string_view place,
                                                findings& found);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_DOCUMENT_KIND_H_
