#include "src/entry/stream_aborter.h"

#include <utility>

namespace jacinthspool {
namespace {

constexpr microseconds kPollInterval = milliseconds(20);
constexpr microseconds kMaxWait = seconds(5);

}  // namespace

void stream_aborter::AbortOnceSent(std::shared_ptr<http_exchange> exchange) {
  failed_streams_.push_back(
      {.exchange = std::move(exchange), .deadline = timer_service::now() + kMaxWait});
  if (!poll_timer_.active()) {
    poll_timer_ = timers_.Every(kPollInterval, [this](instant now) { Poll(now); });
  }
}

void stream_aborter::Poll(instant now) {
  std::erase_if(failed_streams_, [now](const failed_stream& failed) {
    if (failed.exchange->queued_bytes() > 0 && now < failed.deadline) {
      return false;
    }
    failed.exchange->AbortStream();
    return true;
  });
  if (failed_streams_.empty()) {
    poll_timer_.Cancel();
  }
}

}  // namespace jacinthspool
