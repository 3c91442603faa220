#ifndef JACINTHSPOOL_TRANSPORT_SEND_TRACE_H_
#define JACINTHSPOOL_TRANSPORT_SEND_TRACE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief What became of the bytes of one request on its connection.
struct send_trace {
  std::uint64_t connection = 0;          ///< Number of the connection in its client, from 1.
  bool kept = false;                     ///< The connection has carried an earlier request.
  instant started{};                     ///< When the request was queued.
  std::optional<instant> connected{};    ///< When a new connection was established.
  std::optional<instant> first_write{};  ///< When the kernel took the first byte.
  std::optional<instant> last_write{};   ///< When it took the newest one.
  std::size_t bytes = 0;                 ///< Length of the request.
  std::size_t written = 0;               ///< How much of it the kernel has taken.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_SEND_TRACE_H_
