#include "src/settings/file_source.h"

#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include "src/settings/json_document.h"
#include "src/settings/settings_log.h"

namespace jacinthspool {
namespace {

void OfferTeams(const nlohmann::json& teams, settings_store& store) {
  for (const nlohmann::json& team : teams) {
    if (!team.is_object() || !team.contains("name") || !team["name"].is_string() ||
        !team.contains("settings")) {
      continue;
    }
    store.Offer("teams/" + team["name"].get<std::string>(), team["settings"].dump());
  }
}

}  // namespace

file_source::file_source(std::string file, settings_store& store)
    : file_(std::move(file)), store_(store) {
  Reload();
}

void file_source::Reload() {
  std::ifstream stream(file_, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  if (!stream) {
    LogFindings({{file_, "cannot be read; the settings in force stay"}});
    return;
  }
  findings found;
  const std::optional<nlohmann::json> document =
      ParseJson(text, file_, kMaxProcessFileBytes, found);
  LogFindings(found);
  if (!document || !document->is_object()) {
    return;
  }
  if (document->contains("operators")) {
    store_.Offer("operators", (*document)["operators"].dump());
  }
  if (document->contains("teams") && (*document)["teams"].is_array()) {
    OfferTeams((*document)["teams"], store_);
  }
}

}  // namespace jacinthspool
