#ifndef JACINTHSPOOL_TRANSPORT_INCARNATION_H_
#define JACINTHSPOOL_TRANSPORT_INCARNATION_H_

#include "jacinthspool/impl/ids.h"

namespace jacinthspool {

/// \returns The number of this run of the process: a restarted process gets the larger one.
[[nodiscard]] incarnation_id NewIncarnation();

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_INCARNATION_H_
