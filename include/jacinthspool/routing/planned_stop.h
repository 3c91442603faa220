#ifndef JACINTHSPOOL_ROUTING_PLANNED_STOP_H_
#define JACINTHSPOOL_ROUTING_PLANNED_STOP_H_

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Timetable of a gateway that has been told to stop.
///
/// The end of the process is a deadline of each of its requests, beside those of the caller and of
/// the route. A request that is not expected to end by then is rejected before it runs, since
/// another gateway can serve it; one that runs too long is answered shortly before the process
/// ends, while there is time to send the answer.
class planned_stop {
 public:
  struct options {
    instant begun{};       ///< Arrival of the stop signal.
    microseconds grace{};  ///< From the stop signal until the process would be killed.
    /// The load balancer sends new requests until two of its health checks, one per second, have
    /// failed.
    microseconds balancer_delay = milliseconds(2500);
    /// From the last answers until the process would be killed.
    microseconds max_margin = milliseconds(600);
  };

  explicit planned_stop(const options& settings);

  /// \returns When the gateway stops accepting connections and rejects all new requests.
  [[nodiscard]] instant accepts_until() const { return accepts_until_; }
  /// \returns When every request must have been answered.
  [[nodiscard]] instant answered_by() const { return answered_by_; }
  /// \returns When the process ends, even if a caller has not read its answer.
  [[nodiscard]] instant exits_by() const { return exits_by_; }

 private:
  instant accepts_until_;
  instant answered_by_;
  instant exits_by_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_PLANNED_STOP_H_
