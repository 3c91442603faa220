#include "src/entry/stream_cutter.h"

#include <utility>

namespace jacinthspool {
namespace {

constexpr microseconds kLookEvery = milliseconds(20);
constexpr microseconds kLongestWait = seconds(5);

}  // namespace

void stream_cutter::Cut(std::shared_ptr<http_exchange> exchange) {
  failing_.push_back(
      {.exchange = std::move(exchange), .until = timer_service::now() + kLongestWait});
  if (!look_.active()) {
    look_ = timers_.Every(kLookEvery, [this](instant now) { Look(now); });
  }
}

void stream_cutter::Look(instant now) {
  std::erase_if(failing_, [now](const failing_stream& failing) {
    if (failing.exchange->queued_bytes() > 0 && now < failing.until) {
      return false;
    }
    failing.exchange->AbortStream();
    return true;
  });
  if (failing_.empty()) {
    look_.Cancel();
  }
}

}  // namespace jacinthspool
