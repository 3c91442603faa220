#ifndef JACINTHSPOOL_ROUTING_MEMBER_ESTIMATE_H_
#define JACINTHSPOOL_ROUTING_MEMBER_ESTIMATE_H_

#include <cstdint>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief How many processes share something, told on the safe side.
///
/// The load it answers: peers that have just restarted have heard of few, and
/// whoever believed them would take too large a part of a shared budget. The
/// count rises at once and falls only when it has been lower for a while; a
/// process that has heard of no peer yet assumes many.
class member_estimate {
 public:
  struct options {
    std::uint32_t at_start = 128;      ///< Assumed until `settle` after the start.
    microseconds settle = seconds(3);  ///< In which all have asked all their peers.
    microseconds hold = seconds(30);   ///< How long a higher count stays in force.
  };

  member_estimate(const options& settings, instant start) : settings_(settings), start_(start) {}

  /// \param counted What is known now.
  /// \param heard Whether a peer has told its count, or there are no peers to ask.
  /// \returns The count to go by.
  std::uint32_t Update(std::uint32_t counted, bool heard, instant now) {
    if (counted >= highest_ || now - seen_ > settings_.hold) {
      highest_ = counted;
      seen_ = now;
    }
    const bool settling = !heard || now - start_ < settings_.settle;
    return settling && highest_ < settings_.at_start ? settings_.at_start : highest_;
  }

 private:
  options settings_;
  instant start_;
  std::uint32_t highest_ = 0;
  instant seen_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_MEMBER_ESTIMATE_H_
