#include "src/settings/document_checks.h"
#include "src/settings/document_place.h"
#include "src/settings/name_checks.h"

namespace jacinthspool {
namespace {

void CheckOptionalAddress(document_place& place, std::string_view member, const std::string& text,
                          port_rule rule = port_rule::kNonZero) {
  if (!text.empty()) {
    CheckAddress(place, member, text, rule);
  }
}

void CheckAddresses(document_place& place, std::string_view member,
                    const std::vector<std::string>& addresses) {
  uniqueness_check unique("is in the list twice");
  const place_scope list(place, std::string(member));
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const place_scope element(place, i);
    CheckAddress(place, "", addresses[i]);
    unique.Add(place, "", addresses[i]);
  }
}

void CheckSource(const config::source_settings_value& source, document_place& place) {
  const place_scope scope(place, std::string("source"));
  CheckAddresses(place, "addresses", source.addresses);
  const bool service = source.kind == config::source_kind::consul;
  if (service && source.addresses.empty()) {
    place.Add("addresses", "is missing: a source of kind 'consul' needs one or more");
  }
  if (!service && !source.addresses.empty()) {
    place.Add("addresses", "has no meaning in a source of kind 'file'");
  }
}

void CheckBackendServer(const config::backend_server_settings_value& backend,
                        document_place& place) {
  const place_scope scope(place, std::string("backend"));
  CheckName(place, "name", backend.name);
  CheckAddress(place, "address", backend.address);
}

void CheckGateway(const gateway_settings& gateway, document_place& place) {
  const place_scope scope(place, std::string("gateway"));
  CheckAddress(place, "ready_listen", gateway.ready_listen, port_rule::kMayBeZero);
  CheckAddress(place, "snapshot_listen", gateway.snapshot_listen, port_rule::kMayBeZero);
  CheckOptionalAddress(place, "metrics_listen", gateway.metrics_listen, port_rule::kMayBeZero);
  CheckAddress(place, "publisher", gateway.publisher);
}

void CheckSidecar(const sidecar_settings& sidecar, document_place& place) {
  const place_scope scope(place, std::string("sidecar"));
  CheckAddress(place, "engine", sidecar.engine);
}

/// Checks the documents that a source of kind "file" embeds.
void CheckEmbedded(const process_settings& process, std::string_view place, findings& found) {
  document_place at(place, found);
  if (process.operators) {
    CheckOperators(*process.operators, JoinPlace(place, "operators"), found);
  }
  uniqueness_check teams("has another entry; give each team one");
  for (std::size_t i = 0; i < process.teams.size(); ++i) {
    const place_scope list(at, std::string("teams"));
    const place_scope element(at, i);
    const config::named_team_settings_value& team = *process.teams[i];
    CheckName(at, "name", team.name);
    teams.Add(at, "name", team.name);
    if (!team.settings) {
      at.Add("settings", "is missing");
      continue;
    }
    CheckTeam(*team.settings, JoinPlace(at.ToString(), "settings"), found);
  }
}

bool HasEmbedded(const process_settings& process) {
  return process.operators != nullptr || !process.teams.empty();
}

}  // namespace

void CheckProcess(const process_settings& process, std::string_view place, findings& found) {
  document_place at(place, found);
  CheckName(at, "name", process.name);
  CheckName(at, "data_centre", process.data_centre);
  CheckOptionalAddress(at, "listen", process.listen, port_rule::kMayBeZero);
  CheckOptionalAddress(at, "peer_listen", process.peer_listen, port_rule::kMayBeZero);
  CheckOptionalAddress(at, "vm_list", process.vm_list);
  CheckAddresses(at, "peers", process.peers);
  CheckNotZero(at, "watchers", process.watchers);
  if (process.source) {
    CheckSource(*process.source, at);
  }
  if (process.source && process.source->kind == config::source_kind::consul &&
      HasEmbedded(process)) {
    at.Add("source", "is of kind 'consul': 'operators' and 'teams' must not stand in this file");
  }
  if (process.backend) {
    CheckBackendServer(*process.backend, at);
  }
  if (process.gateway) {
    CheckGateway(*process.gateway, at);
  }
  if (process.sidecar) {
    CheckSidecar(*process.sidecar, at);
  }
  CheckEmbedded(process, place, found);
}

void CheckEmbeddedReferences(const process_settings& process, std::string_view place,
                             findings& found) {
  std::map<std::string, std::shared_ptr<const team_settings>> earlier;
  for (std::size_t i = 0; i < process.teams.size(); ++i) {
    const config::named_team_settings_value& team = *process.teams[i];
    const std::string at = JoinPlace(place, "teams[" + std::to_string(i) + "].settings");
    CheckDuplicateTokens(team.name, *team.settings, earlier, at, found);
    earlier[team.name] = team.settings;
    if (process.operators) {
      CheckTeamReferences(team.name, *team.settings, *process.operators, at, found);
    }
  }
}

void CheckRole(const process_settings& process, process_role role, std::string_view place,
               findings& found) {
  document_place at(place, found);
  const bool agent = role == process_role::kAgent;
  const bool gateway = role == process_role::kGateway;
  const bool sidecar = role == process_role::kSidecar;
  if (!process.sidecar && sidecar) {
    at.Add("sidecar", "is missing: a sidecar needs its own settings");
  }
  if (process.sidecar && !sidecar) {
    at.Add("sidecar", "has a meaning in a sidecar only");
  }
  if (sidecar) {
    return;
  }
  if (process.listen.empty() && !agent) {
    at.Add("listen", gateway ? "is missing: a gateway needs the address that callers use"
                             : "is missing: an entry needs the address that callers use");
  }
  if (!process.gateway && gateway) {
    at.Add("gateway", "is missing: a gateway needs its own settings");
  }
  if (gateway) {
    return;
  }
  if (process.gateway) {
    at.Add("gateway", "has a meaning in a gateway only");
  }
  if (process.peer_listen.empty() && agent) {
    at.Add("peer_listen", "is missing: an agent needs the address that entries use");
  }
  if (!process.backend && agent) {
    at.Add("backend", "is missing: an agent needs its backend server");
  }
  if (process.backend && !agent) {
    at.Add("backend", "has no meaning in an entry");
  }
  if (process.key_file.empty()) {
    at.Add("key_file", "is missing: processes prove who they are by the keys in it");
  }
}

}  // namespace jacinthspool
