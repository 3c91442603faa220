#ifndef JACINTHSPOOL_SETTINGS_SCHEMA_READER_H_
#define JACINTHSPOOL_SETTINGS_SCHEMA_READER_H_

#include <flatbuffers/flatbuffers.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Checks a JSON value against a table of the settings schema and encodes it.
///
/// Every fault is added to `found`: unknown keys, wrong types, numbers out of
/// range, unknown enumerators and missing members.
/// \param table Name of the table, as in the schema.
/// \returns The encoded table, or nothing when there was any fault.
std::optional<flatbuffers::DetachedBuffer> EncodeBySchema(const nlohmann::json& value,
                                                          std::string_view table,
                                                          std::string_view place, findings& found);

/// \brief Reads a JSON value as the struct generated for a table.
///
/// \code
/// auto team = ReadBySchema<config::team_settings>(json, "team_settings", "teams/a", found);
/// \endcode
template <typename table_type>
std::shared_ptr<typename table_type::NativeTableType> ReadBySchema(const nlohmann::json& value,
                                                                   std::string_view table,
                                                                   std::string_view place,
                                                                   findings& found) {
  const std::optional<flatbuffers::DetachedBuffer> encoded =
      EncodeBySchema(value, table, place, found);
  if (!encoded) {
    return nullptr;
  }
  return std::shared_ptr<typename table_type::NativeTableType>(
      flatbuffers::GetRoot<table_type>(encoded->data())->UnPack());
}

/// \returns " (did you mean 'x'?)" for the candidate nearest to `name`, or nothing.
std::string Suggestion(std::string_view name, const std::vector<std::string>& candidates);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_SCHEMA_READER_H_
