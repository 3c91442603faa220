#include <algorithm>

#include "src/settings/document_checks.h"
#include "src/settings/document_place.h"
#include "src/settings/name_checks.h"
#include "src/settings/schema_reader.h"

namespace jacinthspool {
namespace {

constexpr std::size_t kTokenHashLength = 64;

bool IsTokenHash(std::string_view text) {
  return text.size() == kTokenHashLength && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

void CheckTokenHashes(const team_settings& team, document_place& place) {
  uniqueness_check hashes("is in the list twice");
  const place_scope list(place, std::string("token_hashes"));
  for (std::size_t i = 0; i < team.token_hashes.size(); ++i) {
    const place_scope element(place, i);
    hashes.Add(place, "", team.token_hashes[i]);
    if (!IsTokenHash(team.token_hashes[i])) {
      place.Add("must be a BLAKE2b-256 hash: 64 digits, 0 to 9 and a to f");
    }
  }
}

void CheckModels(const team_settings& team, document_place& place) {
  uniqueness_check models("already has a route");
  const place_scope list(place, std::string("models"));
  for (std::size_t i = 0; i < team.models.size(); ++i) {
    const place_scope element(place, i);
    const model_route_settings& route = *team.models[i];
    models.Add(place, "model", route.model);
    if (route.model.empty()) {
      place.Add("model", "must not be empty");
    }
    CheckName(place, "prefill_pool", route.prefill_pool);
    CheckName(place, "decode_pool", route.decode_pool);
  }
}

/// Paths that the entry serves itself.
bool IsReservedPath(std::string_view prefix) {
  constexpr std::string_view kReserved[] = {"/v1/", "/healthz", "/metrics", "/status"};
  return std::any_of(std::begin(kReserved), std::end(kReserved), [&](std::string_view reserved) {
    return prefix.starts_with(reserved) || reserved.starts_with(prefix);
  });
}

void CheckRoutes(const team_settings& team, document_place& place) {
  uniqueness_check names("is already the name of another route");
  uniqueness_check prefixes("is already the prefix of another route");
  const place_scope list(place, std::string("routes"));
  for (std::size_t i = 0; i < team.routes.size(); ++i) {
    const place_scope element(place, i);
    const route_settings& route = *team.routes[i];
    CheckName(place, "name", route.name);
    names.Add(place, "name", route.name);
    prefixes.Add(place, "path_prefix", route.path_prefix);
    CheckName(place, "pool", route.pool);
    CheckNotZero(place, "deadline_ms", route.deadline_ms);
    if (!route.path_prefix.starts_with('/')) {
      place.Add("path_prefix", "must begin with '/'");
    } else if (IsReservedPath(route.path_prefix)) {
      place.Add("path_prefix", "covers a path that the entry serves itself");
    }
  }
}

void CheckWorkspaces(const team_settings& team, document_place& place) {
  uniqueness_check names("is already a workspace");
  const place_scope list(place, std::string("workspaces"));
  for (std::size_t i = 0; i < team.workspaces.size(); ++i) {
    const place_scope element(place, i);
    CheckName(place, "name", team.workspaces[i]->name);
    names.Add(place, "name", team.workspaces[i]->name);
  }
}

std::string_view NameOf(config::pool_kind kind) { return config::EnumNamepool_kind(kind); }

/// Checks a team's references to pools against the operators' document.
class reference_checker {
 public:
  reference_checker(std::string_view team, const operator_settings& operators,
                    document_place& place)
      : team_(team), place_(place) {
    snapshot_.operators =
        std::shared_ptr<const operator_settings>(std::shared_ptr<void>(), &operators);
  }

  void Check(std::string_view member, const std::string& pool, config::pool_kind kind) {
    const pool_settings* known = snapshot_.FindPool(pool);
    if (known == nullptr) {
      place_.Add(member, "'" + pool + "' is not a pool" + Suggestion(pool, PoolNames()));
      return;
    }
    if (known->kind != kind) {
      place_.Add(member, "'" + pool + "' is a " + std::string(NameOf(known->kind)) +
                             " pool; this needs a " + std::string(NameOf(kind)) + " pool");
    }
    if (!snapshot_.TeamMayUse(team_, pool)) {
      place_.Add(member, "the operators have not given pool '" + pool + "' to team '" +
                             std::string(team_) + "'");
    }
  }

  void CheckModel(std::string_view member, const std::string& pool, const std::string& model) {
    const pool_settings* known = snapshot_.FindPool(pool);
    if (known != nullptr && known->kind != config::pool_kind::service && known->model != model) {
      place_.Add(member, "'" + pool + "' serves model '" + known->model + "', not '" + model + "'");
    }
  }

 private:
  std::vector<std::string> PoolNames() const {
    std::vector<std::string> names;
    for (const auto& pool : snapshot_.operators->pools) {
      names.push_back(pool->name);
    }
    return names;
  }

  std::string_view team_;
  document_place& place_;
  settings_snapshot snapshot_;
};

bool HasToken(const team_settings& team, const std::string& hash) {
  return std::find(team.token_hashes.begin(), team.token_hashes.end(), hash) !=
         team.token_hashes.end();
}

}  // namespace

void CheckDuplicateTokens(std::string_view name, const team_settings& team,
                          const std::map<std::string, std::shared_ptr<const team_settings>>& teams,
                          std::string_view place, findings& found) {
  document_place at(place, found);
  const place_scope list(at, std::string("token_hashes"));
  for (std::size_t i = 0; i < team.token_hashes.size(); ++i) {
    const place_scope element(at, i);
    for (const auto& [other, settings] : teams) {
      if (other != name && HasToken(*settings, team.token_hashes[i])) {
        at.Add("is a token of team '" + other + "', too");
      }
    }
  }
}

void CheckTeam(const team_settings& team, std::string_view place, findings& found) {
  document_place at(place, found);
  CheckNotZero(at, "revision", team.revision);
  CheckTokenHashes(team, at);
  CheckModels(team, at);
  CheckRoutes(team, at);
  CheckWorkspaces(team, at);
}

void CheckTeamReferences(std::string_view name, const team_settings& team,
                         const operator_settings& operators, std::string_view place,
                         findings& found) {
  document_place at(place, found);
  reference_checker references(name, operators, at);
  for (std::size_t i = 0; i < team.models.size(); ++i) {
    const place_scope list(at, std::string("models"));
    const place_scope element(at, i);
    const model_route_settings& route = *team.models[i];
    references.Check("prefill_pool", route.prefill_pool, config::pool_kind::prefill);
    references.CheckModel("prefill_pool", route.prefill_pool, route.model);
    references.Check("decode_pool", route.decode_pool, config::pool_kind::decode);
    references.CheckModel("decode_pool", route.decode_pool, route.model);
  }
  for (std::size_t i = 0; i < team.routes.size(); ++i) {
    const place_scope list(at, std::string("routes"));
    const place_scope element(at, i);
    references.Check("pool", team.routes[i]->pool, config::pool_kind::service);
  }
}

}  // namespace jacinthspool
