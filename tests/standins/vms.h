#ifndef JACINTHSPOOL_TESTS_STANDINS_VMS_H_
#define JACINTHSPOOL_TESTS_STANDINS_VMS_H_

#include <cstdint>
#include <list>
#include <nlohmann/json.hpp>

#include "tests/standins/common.h"

namespace jacinthspool::standins {

/// \brief Faults that `POST /standin/faults` switches.
struct vms_faults {
  std::uint32_t lag_ms = 0;  ///< Until a change is shown.
  bool down = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(vms_faults, lag_ms, down)

/// \brief Stand-in of the VM list; tests set it with `POST /standin/vms`.
class vms {
 public:
  explicit vms(surroundings around) : around_(around) {}

  void Handle(const exchange_ptr& exchange);

 private:
  surroundings around_;
  vms_faults faults_;
  nlohmann::json shown_ = {{"vms", nlohmann::json::array()}};
  std::list<timer_subscription> changes_;
};

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_VMS_H_
