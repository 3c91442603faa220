#ifndef JACINTHSPOOL_ENTRY_STREAM_CUTTER_H_
#define JACINTHSPOOL_ENTRY_STREAM_CUTTER_H_

#include <memory>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "src/transport/http_server.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Cuts streams that have failed, once their callers have taken what was sent.
class stream_cutter {
 public:
  explicit stream_cutter(timer_service& timers) : timers_(timers) {}

  /// \brief Cuts the stream soon, or after a few seconds if the caller takes nothing.
  void Cut(std::shared_ptr<http_exchange> exchange);

  [[nodiscard]] bool idle() const { return failing_.empty(); }

 private:
  struct failing_stream {
    std::shared_ptr<http_exchange> exchange;
    instant until;
  };
  void Look(instant now);

  timer_service& timers_;
  std::vector<failing_stream> failing_;
  timer_subscription look_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_STREAM_CUTTER_H_
