#ifndef JACINTHSPOOL_GATEWAY_SNAPSHOT_H_
#define JACINTHSPOOL_GATEWAY_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/configuration.h"

namespace jacinthspool {

/// \brief What one gateway tells another.
struct gateway_snapshot {
  std::shared_ptr<const forward_configuration> configuration;  ///< Null: none is known.
  std::vector<backend_record> backends;
  std::uint64_t list_revision = 0;
  std::uint32_t gateways = 0;  ///< That have asked the sender lately, itself included.
};

[[nodiscard]] std::string EncodeSnapshot(const gateway_snapshot& value);

/// \returns Nothing when the bytes are not a snapshot.
[[nodiscard]] std::optional<gateway_snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SNAPSHOT_H_
