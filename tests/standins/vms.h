#ifndef JACINTHSPOOL_TESTS_STANDINS_VMS_H_
#define JACINTHSPOOL_TESTS_STANDINS_VMS_H_

#include <cstdint>
#include <list>
#include <nlohmann/json.hpp>

#include "tests/standins/common.h"

namespace jacinthspool::standins {

/// \brief Faults that `POST /standin/faults` sets.
struct vms_faults {
  std::uint32_t lag_ms = 0;  ///< Delay until a change is returned.
  bool down = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(vms_faults, lag_ms, down)

/// \brief Stand-in for the VM list, which tests set with `POST /standin/vms`.
class vms {
 public:
  explicit vms(standin_context context) : context_(context) {}

  void Handle(const exchange_ptr& exchange);

 private:
  standin_context context_;
  vms_faults faults_;
  nlohmann::json shown_ = {{"vms", nlohmann::json::array()}};
  std::list<timer_subscription> changes_;
};

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_VMS_H_
