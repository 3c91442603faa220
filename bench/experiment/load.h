#ifndef JACINTHSPOOL_BENCH_EXPERIMENT_LOAD_H_
#define JACINTHSPOOL_BENCH_EXPERIMENT_LOAD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bench/experiment/arrivals.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/timer_service.h"

namespace jacinthspool::bench {

/// \brief The outcome and the latencies of one planned request.
struct request_result {
  planned_request plan;
  int status = 0;
  std::string error_type;  ///< `type` of the answer's error object; empty if there is none.
  bool whole = false;      ///< The answer is complete: expected end and length, no error.
  bool left = false;       ///< The caller disconnected before the answer ended, as planned.
  microseconds
      first_token{};  ///< From sending to the first token or, for a service call, the answer.
  microseconds longest_gap{};  ///< Longest time between two tokens.
  microseconds mean_gap{};
  std::uint32_t tokens = 0;
  double retry_after_s = 0;

  [[nodiscard]] bool InTargets(microseconds first_target, microseconds gap_target) const {
    return whole && first_token <= first_target && mean_gap <= gap_target;
  }
};

struct load_options {
  event_loop& loop;
  timer_service& timers;
  std::vector<std::string> entries;  ///< ip:port of each.
  std::string model;
  std::vector<planned_request> plan;
  std::function<void(const request_result&)> on_result;
};

/// \brief Sends the requests of a plan at their planned times, without waiting for earlier ones.
class load_generator {
 public:
  explicit load_generator(load_options options);
  ~load_generator();

  /// \returns true once each request of the plan has a result.
  [[nodiscard]] bool done() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool::bench

#endif  // JACINTHSPOOL_BENCH_EXPERIMENT_LOAD_H_
