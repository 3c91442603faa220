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

/// \brief What became of one planned request.
struct request_result {
  planned_request plan;
  int status = 0;
  std::string error_type;      ///< Of the answer's error object; empty when there is none.
  bool whole = false;          ///< The answer came with its proper end and length.
  bool left = false;           ///< The caller went first, as planned.
  microseconds first_token{};  ///< From the request to its first token, or the call's answer.
  microseconds longest_gap{};  ///< Between two tokens.
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

/// \brief Sends a plan's requests at their times, whatever becomes of the earlier ones.
class load_generator {
 public:
  explicit load_generator(load_options options);
  ~load_generator();

  /// \returns true when each request has its result.
  [[nodiscard]] bool done() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool::bench

#endif  // JACINTHSPOOL_BENCH_EXPERIMENT_LOAD_H_
