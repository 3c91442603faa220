#ifndef JACINTHSPOOL_ENTRY_STREAM_ABORTER_H_
#define JACINTHSPOOL_ENTRY_STREAM_ABORTER_H_

#include <memory>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "src/transport/http_server.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Aborts failed streams once their remaining bytes have been sent.
class stream_aborter {
 public:
  explicit stream_aborter(timer_service& timers) : timers_(timers) {}

  /// \brief Aborts the stream once its queue is empty, at the latest after 5 s.
  void AbortOnceSent(std::shared_ptr<http_exchange> exchange);

  /// \returns true if no stream is waiting to be aborted.
  [[nodiscard]] bool idle() const { return failed_streams_.empty(); }

 private:
  struct failed_stream {
    std::shared_ptr<http_exchange> exchange;
    instant deadline;
  };
  void Poll(instant now);

  timer_service& timers_;
  std::vector<failed_stream> failed_streams_;
  timer_subscription poll_timer_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_STREAM_ABORTER_H_
