#ifndef JACINTHSPOOL_GATEWAY_SLOT_DISPATCHER_H_
#define JACINTHSPOOL_GATEWAY_SLOT_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "jacinthspool/routing/slot_queue.h"
#include "src/gateway/gateway_context.h"
#include "src/gateway/queued_place.h"

namespace jacinthspool {

/// Reason of a rejection, for the log.
inline constexpr std::string_view kLimitReached = "request limit of the servers reached";

/// \brief Sends the requests in the slot queue as the limits of their servers allow.
class slot_dispatcher {
 public:
  struct handlers {
    std::function<void()> on_ready;  ///< A server may be sent the request now.
    std::function<void(std::string_view why)> on_rejected;
  };

  explicit slot_dispatcher(gateway_context& context) : context_(context), queue_({}) {}

  /// \brief Enqueues a request; one of its handlers is called in a later loop iteration, unless
  /// its place is destroyed before.
  [[nodiscard]] queued_place Enqueue(slot_request request, handlers callbacks);

  [[nodiscard]] bool HasWaiting(std::string_view service) const {
    return queue_.Waiting(service) > 0;
  }

  /// \returns When a caller that is rejected now may return, if the limits of all servers of the
  /// service delay it.
  [[nodiscard]] std::optional<instant> ReserveReturn(const std::string& service, instant now,
                                                     request_priority priority);

  [[nodiscard]] std::size_t waiting() const { return handlers_.size(); }

 private:
  void Withdraw(std::uint64_t number);
  void DispatchAll();
  void Dispatch(const std::string& service);
  void ScheduleNext();
  [[nodiscard]] std::optional<slot_pace> Pace(std::string_view service, instant now) const;

  gateway_context& context_;
  slot_queue queue_;
  std::map<std::uint64_t, handlers> handlers_;
  timer_subscription first_pass_;  ///< Over the requests that have just been enqueued.
  timer_subscription tick_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SLOT_DISPATCHER_H_
