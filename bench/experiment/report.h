#ifndef JACINTHSPOOL_BENCH_EXPERIMENT_REPORT_H_
#define JACINTHSPOOL_BENCH_EXPERIMENT_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/experiment/load.h"

namespace jacinthspool::bench {

struct report_options {
  microseconds first_target = milliseconds(430);
  microseconds gap_target = milliseconds(75);
  microseconds length = seconds(1);  ///< Period in which requests arrive.
};

/// \brief Collects the results of a run and summarises them.
class report {
 public:
  explicit report(report_options options) : options_(options) {}

  void Add(const request_result& result);

  /// \param prefill_tokens Tokens that the prefill engines processed, including cached ones.
  /// \returns Goodput, outcomes and percentiles, for all teams and for each, and wasted prefill.
  [[nodiscard]] nlohmann::json Summary(std::uint64_t prefill_tokens) const;

 private:
  [[nodiscard]] nlohmann::json SummaryOf(const std::string& team) const;

  report_options options_;
  std::vector<request_result> results_;
};

}  // namespace jacinthspool::bench

#endif  // JACINTHSPOOL_BENCH_EXPERIMENT_REPORT_H_
