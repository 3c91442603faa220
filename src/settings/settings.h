#ifndef JACINTHSPOOL_SETTINGS_SETTINGS_H_
#define JACINTHSPOOL_SETTINGS_SETTINGS_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "schema/generated/settings_generated.h"

namespace jacinthspool {

using backend_settings = config::backend_settings_value;
using gateway_settings = config::gateway_settings_value;
using limit_settings = config::limit_settings_value;
using model_route_settings = config::model_route_settings_value;
using operator_settings = config::operator_settings_value;
using pool_settings = config::pool_settings_value;
using process_settings = config::process_settings_value;
using route_settings = config::route_settings_value;
using sidecar_settings = config::sidecar_settings_value;
using team_access_settings = config::team_access_settings_value;
using team_settings = config::team_settings_value;
using timing_settings = config::timing_settings_value;

/// \brief One fault of a settings document, with its place.
struct finding {
  std::string
      place;  ///< Path of the document and of the value in it: "teams/turnevo:models[0].model"
  std::string text;
};
using findings = std::vector<finding>;

/// \brief Parses and checks a document. Adds every fault to `found`.
/// \returns Nothing when there was any fault.
///
/// \param replaced Receives the faults of numbers that have a safe default, which then holds;
/// null: they are faults like others.
std::shared_ptr<const process_settings> ParseProcess(std::string_view text, std::string_view place,
                                                     findings& found, findings* replaced = nullptr);
std::shared_ptr<const operator_settings> ParseOperators(std::string_view text,
                                                        std::string_view place, findings& found);
std::shared_ptr<const team_settings> ParseTeam(std::string_view text, std::string_view place,
                                               findings& found);

enum class process_role { kEntry, kAgent, kGateway, kSidecar };

/// \brief Adds a finding for each setting that this role requires but lacks, or cannot use.
void CheckRole(const process_settings& process, process_role role, std::string_view place,
               findings& found);

/// \brief Checks a team's references to pools against the operators' document.
///
/// Such a fault does not make the team's document invalid: the operators may
/// grant the pool later. Until then, requests that need it are rejected.
void CheckTeamReferences(std::string_view name, const team_settings& team,
                         const operator_settings& operators, std::string_view place,
                         findings& found);

/// \brief Adds a finding for each token that another team has as well.
///
/// Such a document is applied nevertheless: which team had the token first
/// differs between processes.
/// \param teams All teams; the one called `name` is skipped.
void CheckDuplicateTokens(std::string_view name, const team_settings& team,
                          const std::map<std::string, std::shared_ptr<const team_settings>>& teams,
                          std::string_view place, findings& found);

/// \brief Checks the references between the documents that process settings embed.
void CheckEmbeddedReferences(const process_settings& process, std::string_view place,
                             findings& found);

/// \brief The settings in force in one process: the last good version of each subtree.
struct settings_snapshot {
  std::shared_ptr<const operator_settings> operators;  ///< Not null, nor its timing and limits.
  std::map<std::string, std::shared_ptr<const team_settings>> teams;

  /// \returns The pool, or null.
  [[nodiscard]] const pool_settings* FindPool(std::string_view name) const;
  /// \returns The pool that holds the backend server, or null.
  [[nodiscard]] const pool_settings* FindPoolOfBackend(std::string_view backend) const;
  /// \returns What the operators allow the team, or null.
  [[nodiscard]] const team_access_settings* FindAccess(std::string_view team) const;
  [[nodiscard]] bool TeamMayUse(std::string_view team, std::string_view pool) const;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_SETTINGS_H_
