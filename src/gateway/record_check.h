#ifndef JACINTHSPOOL_GATEWAY_RECORD_CHECK_H_
#define JACINTHSPOOL_GATEWAY_RECORD_CHECK_H_

#include <string_view>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/configuration.h"

namespace jacinthspool {

/// Longest time in a configuration; peers exchange times as 32-bit milliseconds.
inline constexpr milliseconds kLongestConfiguredTime = milliseconds(0xFFFFFFFFLL);

/// \returns false when the tenant's name cannot be sent in a header, or its limit is out of range.
[[nodiscard]] bool IsUsable(const tenant& value);

/// \brief Checks a record of any source before requests are sent to its server.
/// \returns Why the record cannot be used; empty: it can.
[[nodiscard]] std::string_view FaultOf(const backend_record& record);

/// \brief Checks a configuration of any source before it is applied.
/// \returns Why the configuration cannot be used; empty: it can.
[[nodiscard]] std::string_view FaultOf(const forward_configuration& configuration);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_RECORD_CHECK_H_
