#ifndef JACINTHSPOOL_TESTS_STANDINS_ENGINE_H_
#define JACINTHSPOOL_TESTS_STANDINS_ENGINE_H_

#include <cstdint>
#include <list>
#include <string>

#include "tests/standins/common.h"
#include "tests/standins/decode_batch.h"
#include "tests/standins/engine_options.h"
#include "tests/standins/prefill_queue.h"

namespace jacinthspool::standins {

/// \brief Stand-in for a model engine, for both the prefill and the decode stage.
///
/// Implements docs/design/engine-protocol.md, and `POST /standin/faults` and
/// `GET /standin/counters` for tests.
class engine {
 public:
  engine(standin_context context, engine_options options);

  void Handle(const exchange_ptr& exchange);

 private:
  struct load_report {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::uint32_t pieces_held = 0;
  };

  struct delayed_request {
    std::string request;
    exchange_ptr exchange;
    timer_subscription timer = {};
  };

  void HandleRequest(const exchange_ptr& exchange);
  void Admit(const exchange_ptr& exchange);
  void Abort(const exchange_ptr& exchange);
  void ListRequests(const exchange_ptr& exchange);
  void ReportLoad(const exchange_ptr& exchange) const;
  void ChangeFaults(const exchange_ptr& exchange);
  [[nodiscard]] load_report Load() const;

  standin_context context_;
  engine_state state_;
  fencing_check fencing_;
  prefill_queue prefills_;
  decode_batch decodes_;
  load_report reported_;
  timer_subscription report_timer_;
  std::list<delayed_request> delayed_;
};

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_ENGINE_H_
