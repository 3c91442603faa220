#include "src/settings/document_kind.h"

#include <algorithm>
#include <array>

#include "src/settings/json_document.h"

namespace jacinthspool {
namespace {

/// \returns true when the document has one of these members, which no other kind has.
template <std::size_t count>
bool HasAny(const nlohmann::json& document, const std::array<const char*, count>& members) {
  return std::any_of(members.begin(), members.end(),
                     [&](const char* member) { return document.contains(member); });
}

}  // namespace

std::optional<document_kind> DetectDocumentKind(std::string_view text, std::string_view place,
                                                findings& found) {
  const auto document = ParseJson(text, place, kMaxProcessFileBytes, found);
  if (!document) {
    return std::nullopt;
  }
  constexpr std::array<const char*, 4> kProcessMembers{"name", "data_centre", "listen", "source"};
  constexpr std::array<const char*, 5> kOperatorMembers{"pools", "access", "timing", "limits",
                                                        "leaving"};
  constexpr std::array<const char*, 5> kTeamMembers{"token_hashes", "objective", "models", "routes",
                                                    "workspaces"};
  if (document->is_object() && HasAny(*document, kProcessMembers)) {
    return document_kind::kProcess;
  }
  if (document->is_object() && HasAny(*document, kOperatorMembers)) {
    return document_kind::kOperators;
  }
  if (document->is_object() && HasAny(*document, kTeamMembers)) {
    return document_kind::kTeam;
  }
  found.push_back({std::string(place),
                   "has no member that identifies its kind; pass --kind process, operators or "
                   "team"});
  return std::nullopt;
}

}  // namespace jacinthspool
