#ifndef JACINTHSPOOL_TESTS_STANDINS_SERVICE_H_
#define JACINTHSPOOL_TESTS_STANDINS_SERVICE_H_

#include <cstdint>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/standins/common.h"

namespace jacinthspool::standins {

struct service_options {
  std::string name;
  bool check_fencing = false;
};

/// \brief Faults that `POST /standin/faults` sets.
struct service_faults {
  std::uint32_t slow_ms = 0;  ///< Delay between execution and answer.
  int refuse = 0;  ///< HTTP status with which calls are rejected before execution; 0 for none.
  std::uint32_t drop_after_executing = 0;   ///< Number of answers that are aborted after execution.
  std::uint32_t stall_after_executing = 0;  ///< Number of executions that are not answered.
  bool die_after_executing = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_faults, slow_ms, refuse,
                                                drop_after_executing, stall_after_executing,
                                                die_after_executing)

/// \brief Stand-in for a plain service: executes each call, also if its key is a duplicate.
///
/// `GET /executions` returns the number of executions by `Idempotency-Key` and by `X-Request-Id`.
class service {
 public:
  service(standin_context context, service_options options);

  void Handle(const exchange_ptr& exchange);

 private:
  void Execute(const exchange_ptr& exchange);
  void Answer(const exchange_ptr& exchange, const nlohmann::json& answer);

  standin_context context_;
  service_options options_;
  service_faults faults_;
  fencing_check fencing_;
  std::uint64_t total_ = 0;
  std::map<std::string, std::uint64_t> by_key_;
  std::map<std::string, std::uint64_t> by_request_;
  std::list<timer_subscription> delayed_;
  std::list<exchange_ptr> stalled_;
};

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_SERVICE_H_
