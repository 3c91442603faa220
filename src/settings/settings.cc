#include "src/settings/settings.h"

#include <algorithm>

#include "src/settings/document_checks.h"
#include "src/settings/gateway_figures.h"
#include "src/settings/json_document.h"
#include "src/settings/schema_reader.h"

namespace jacinthspool {

std::shared_ptr<const process_settings> ParseProcess(std::string_view text, std::string_view place,
                                                     findings& found, findings* replaced) {
  auto json = ParseJson(text, place, kMaxProcessFileBytes, found);
  if (!json) {
    return nullptr;
  }
  const std::size_t before = found.size();
  ReplaceUnusableFigures(*json, place, replaced == nullptr ? found : *replaced);
  auto process = ReadBySchema<config::process_settings>(*json, "process_settings", place, found);
  if (!process) {
    return nullptr;
  }
  if (process->operators) {
    FillDefaults(*process->operators);
  }
  CheckProcess(*process, place, found);
  return found.size() == before ? process : nullptr;
}

std::shared_ptr<const operator_settings> ParseOperators(std::string_view text,
                                                        std::string_view place, findings& found) {
  const auto json = ParseJson(text, place, kMaxDocumentBytes, found);
  if (!json) {
    return nullptr;
  }
  auto operators =
      ReadBySchema<config::operator_settings>(*json, "operator_settings", place, found);
  if (!operators) {
    return nullptr;
  }
  FillDefaults(*operators);
  const std::size_t before = found.size();
  CheckOperators(*operators, place, found);
  return found.size() == before ? operators : nullptr;
}

std::shared_ptr<const team_settings> ParseTeam(std::string_view text, std::string_view place,
                                               findings& found) {
  const auto json = ParseJson(text, place, kMaxDocumentBytes, found);
  if (!json) {
    return nullptr;
  }
  auto team = ReadBySchema<config::team_settings>(*json, "team_settings", place, found);
  if (!team) {
    return nullptr;
  }
  const std::size_t before = found.size();
  CheckTeam(*team, place, found);
  return found.size() == before ? team : nullptr;
}

const pool_settings* settings_snapshot::FindPool(std::string_view name) const {
  for (const auto& pool : operators->pools) {
    if (pool->name == name) {
      return pool.get();
    }
  }
  return nullptr;
}

const pool_settings* settings_snapshot::FindPoolOfBackend(std::string_view backend) const {
  for (const auto& pool : operators->pools) {
    for (const auto& member : pool->backends) {
      if (member->name == backend) {
        return pool.get();
      }
    }
  }
  return nullptr;
}

const team_access_settings* settings_snapshot::FindAccess(std::string_view team) const {
  for (const auto& access : operators->access) {
    if (access->team == team) {
      return access.get();
    }
  }
  return nullptr;
}

bool settings_snapshot::TeamMayUse(std::string_view team, std::string_view pool) const {
  const team_access_settings* access = FindAccess(team);
  return access != nullptr &&
         std::find(access->pools.begin(), access->pools.end(), pool) != access->pools.end();
}

}  // namespace jacinthspool
