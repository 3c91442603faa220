#ifndef JACINTHSPOOL_TESTS_STANDINS_CONFIGURATION_H_
#define JACINTHSPOOL_TESTS_STANDINS_CONFIGURATION_H_

#include <cstdint>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/standins/common.h"

namespace jacinthspool::standins {

/// \brief Faults that `POST /standin/faults` sets.
struct configuration_faults {
  bool down = false;   ///< All reads are answered with 500.
  bool stale = false;  ///< Reads return the state at the time when this was set.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(configuration_faults, down, stale)

/// \brief Stand-in for the configuration service: Consul's KV reads with blocking queries.
///
/// Tests write with `POST /standin/put?key=KEY`, delete with `POST /standin/delete?key=KEY`, and
/// return to an earlier index with `POST /standin/rollback?index=N`.
class configuration {
 public:
  explicit configuration(standin_context context);

  void Handle(const exchange_ptr& exchange);

 private:
  struct entry {
    std::string value;
    std::uint64_t modified = 0;
  };
  struct version {
    std::uint64_t index = 1;
    std::map<std::string, entry> entries;
  };
  struct watch {
    exchange_ptr exchange;
    std::uint64_t index = 0;
    timer_subscription limit;
  };
  using watch_id = std::uint64_t;

  void Read(const exchange_ptr& exchange);
  void Answer(const exchange_ptr& exchange);
  void Change(const exchange_ptr& exchange, const std::string& path);
  void ChangeFaults(const exchange_ptr& exchange);
  void WakeWatches();
  [[nodiscard]] const version& shown() const { return faults_.stale ? stale_ : current_; }

  standin_context context_;
  configuration_faults faults_;
  version current_;
  version stale_;
  std::map<std::uint64_t, version> history_;
  std::map<watch_id, watch> watches_;
  watch_id last_watch_ = 0;
  std::uint64_t reads_ = 0;
};

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_CONFIGURATION_H_
