#ifndef JACINTHSPOOL_ROUTING_EDGE_LIMITS_H_
#define JACINTHSPOOL_ROUTING_EDGE_LIMITS_H_

#include <cstddef>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Limits of an HTTP server for its clients.
struct edge_limits {
  std::size_t max_head_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  milliseconds head_timeout = seconds(3);   ///< From a message's first byte to the end of its head.
  milliseconds idle_timeout = seconds(15);  ///< Between two messages.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_EDGE_LIMITS_H_
