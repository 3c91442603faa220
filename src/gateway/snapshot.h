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

namespace jacinthspool {

/// \brief What of a snapshot is asked for, so that what the asker has is not sent again.
struct snapshot_scope {
  /// Told when it is newer than this version; nothing: not wanted.
  std::optional<std::uint64_t> configuration_after = 0;
  /// The list is told whole when it is newer than this; nothing: not wanted whole.
  std::optional<history_position> list_after = history_position();
};

/// \returns The path and query that ask for it.
[[nodiscard]] std::string SnapshotTarget(const snapshot_scope& scope);

/// \returns Nothing when the target asks for something else.
[[nodiscard]] std::optional<snapshot_scope> ScopeOf(std::string_view target);

/// \brief What one gateway tells another.
struct gateway_snapshot {
  std::shared_ptr<const forward_configuration> configuration;  ///< Null: none, or not asked for.
  std::vector<backend_record> backends;
  /// Of a whole list; the oldest: `backends` has only the servers that are known to be leaving.
  history_position list_position = {};
  std::uint32_t gateways = 0;  ///< That have asked the sender lately, itself included.
  /// Part of each service's engines that should prefill, where the sender knows enough to tell.
  std::map<std::string, double> prefill_shares;
};

[[nodiscard]] std::string EncodeSnapshot(const gateway_snapshot& value);

/// \returns Nothing when the bytes are not a snapshot.
[[nodiscard]] std::optional<gateway_snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SNAPSHOT_H_
