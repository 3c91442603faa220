#include "jacinthspool/impl/time.h"

#include <ctime>

namespace jacinthspool {

boot_clock::time_point boot_clock::now() noexcept {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) +
                                                         std::chrono::nanoseconds(value.tv_nsec)));
}

}  // namespace jacinthspool
