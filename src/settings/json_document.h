#ifndef JACINTHSPOOL_SETTINGS_JSON_DOCUMENT_H_
#define JACINTHSPOOL_SETTINGS_JSON_DOCUMENT_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Largest document that the configuration service can hold.
inline constexpr std::size_t kMaxDocumentBytes = 1U << 20U;
/// \brief Largest file of process settings, which may embed many documents.
inline constexpr std::size_t kMaxProcessFileBytes = 64U << 20U;

/// \brief Parses JSON with comments.
///
/// Reports a syntax error with its line and column, and each duplicate key of an object.
/// \returns Nothing when there was any fault.
std::optional<nlohmann::json> ParseJson(std::string_view text, std::string_view place,
                                        std::size_t max_bytes, findings& found);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_JSON_DOCUMENT_H_
