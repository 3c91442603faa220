#include "src/transport/incarnation.h"

#include <chrono>

namespace jacinthspool {

incarnation_id NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<incarnation_id>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

}  // namespace jacinthspool
