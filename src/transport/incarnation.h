#ifndef JACINTHSPOOL_TRANSPORT_INCARNATION_H_
#define JACINTHSPOOL_TRANSPORT_INCARNATION_H_

#include "jacinthspool/impl/ids.h"

namespace jacinthspool {

/// \returns The incarnation of this process: microseconds of the system clock since the epoch,
/// so that a restarted process gets a larger number.
[[nodiscard]] incarnation_id NewIncarnation();

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_INCARNATION_H_
