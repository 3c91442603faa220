#ifndef JACINTHSPOOL_GATEWAY_SNAPSHOT_H_
#define JACINTHSPOOL_GATEWAY_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/configuration.h"
#include "jacinthspool/routing/crash_quarantine.h"
#include "jacinthspool/routing/engine_pace.h"
#include "jacinthspool/routing/gateway_fleet.h"
#include "jacinthspool/routing/named_limits.h"
#include "jacinthspool/routing/stage_orders.h"

namespace jacinthspool {

/// \brief Requested parts of a snapshot, so that known state is not sent again.
struct snapshot_scope {
  /// The configuration is included when it is newer than this version; nothing: never.
  std::optional<std::uint64_t> configuration_after = 0;
  /// The complete list is included when it is newer than this position; nothing: never.
  std::optional<store_position> list_after = store_position();
  /// The servers that departed after this position are included; nothing: none.
  std::optional<store_position> departed_after = std::nullopt;
};

/// \returns The path and query of a request for that scope.
[[nodiscard]] std::string SnapshotTarget(const snapshot_scope& scope);

/// \returns The requested scope, or nothing when the target is another path.
[[nodiscard]] std::optional<snapshot_scope> ScopeOf(std::string_view target);

/// Path of a request for the current record of one server, which the gateway reads from the
/// publisher; its id is in a header.
inline constexpr std::string_view kRecordTarget = "/jacinthspool/record";

/// \brief How fresh a gateway's configuration is.
struct configuration_confirmation {
  std::uint64_t version = 0;
  /// When the call was sent whose answer showed that this version is the newest; on the clock of
  /// this process.
  instant as_of{};
};

/// \brief State that one gateway sends to another.
///
/// Points in time are encoded as ages, since each process has its own clock.
struct gateway_snapshot {
  std::shared_ptr<const forward_configuration> configuration;  ///< Null: none, or not requested.
  std::vector<backend_record> backends;
  /// Of a complete list; the oldest position: `backends` has only the leaving servers.
  store_position list_position = {};
  std::uint32_t gateways = 0;  ///< That recently queried the sender, itself included.
  /// Share of each service's engines that should prefill, where the sender has an estimate.
  std::map<std::string, double> prefill_shares;
  std::vector<named_limit> limits = {};    ///< Stated by backend servers.
  std::vector<gateway_report> fleet = {};  ///< Of the gateways that the sender knows.
  /// Servers that the sender has seen depart; others that its list lacks may have lapsed.
  std::vector<departed_backend> departed = {};
  /// Servers that have ended, with the requests and parts of prompts that they may have ended of.
  std::vector<crash_report> crashes = {};
  std::vector<suspect_trial> trials = {};
  /// Of the sender's configuration, where tenants are configured. The way that it took is not in
  /// its age: only the answer of a query, whose sending time is known, may be used.
  std::optional<configuration_confirmation> confirmed = {};
  /// Of some decode engines, as the gateways that have measured them report.
  std::vector<server_pace> paces = {};
  /// ip:port of the gateways that the sender hears; empty where the recipient knows the list.
  std::vector<std::string> members = {};
  std::uint64_t members_digest = 0;  ///< Of that list; in a query, of the list known; 0: none.
  /// Why part of a decoded snapshot cannot be used and was left out; empty: nothing was.
  std::string_view fault = {};
};

/// \returns The record as a snapshot that has nothing else.
[[nodiscard]] gateway_snapshot SnapshotOf(const current_record& current);

/// \returns The current record in a snapshot that answers a request for one.
[[nodiscard]] current_record RecordOf(const gateway_snapshot& answer);

[[nodiscard]] std::string EncodeSnapshot(const gateway_snapshot& value);

/// \returns Nothing when the bytes are not a snapshot.
[[nodiscard]] std::optional<gateway_snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SNAPSHOT_H_
