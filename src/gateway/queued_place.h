#ifndef JACINTHSPOOL_GATEWAY_QUEUED_PLACE_H_
#define JACINTHSPOOL_GATEWAY_QUEUED_PLACE_H_

#include <functional>
#include <string_view>
#include <utility>

namespace jacinthspool {

/// Reason of a rejection from either queue, for the log.
inline constexpr std::string_view kNoServerOfVersion = "no server of the stream's version";

/// \brief A request's place in the queue of a dispatcher; destroying it withdraws the request.
///
/// A dispatcher calls no handler of a request before it has handed out its place, and none after
/// the place was destroyed.
class queued_place {
 public:
  queued_place() = default;
  explicit queued_place(std::function<void()> withdraw) : withdraw_(std::move(withdraw)) {}
  queued_place(queued_place&& other) noexcept : withdraw_(std::exchange(other.withdraw_, {})) {}
  queued_place& operator=(queued_place&& other) noexcept {
    if (const auto withdraw = std::exchange(withdraw_, std::exchange(other.withdraw_, {}))) {
      withdraw();
    }
    return *this;
  }
  ~queued_place() {
    if (withdraw_) {
      withdraw_();
    }
  }

 private:
  std::function<void()> withdraw_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_QUEUED_PLACE_H_
