#ifndef JACINTHSPOOL_ROUTING_MEMORY_HEADROOM_H_
#define JACINTHSPOOL_ROUTING_MEMORY_HEADROOM_H_

#include <map>
#include <string>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/admission_queue.h"

namespace jacinthspool {

/// \brief Decides how much memory must remain free in an engine besides a reservation.
///
/// When requests need more memory than there is, one large prompt displaces several
/// small ones, and one that is late anyway displaces one that would be on time. Both
/// are therefore admitted only where memory remains free. Gateways need no messages
/// between them for this, as the engine itself decides whether it has the memory.
class memory_headroom {
 public:
  struct options {
    /// Fraction of an engine's memory that a late request must leave free; the upper bound for all.
    double late_share = 0.2;
    /// Tokens that a request must leave free for each token above the mean size.
    double excess_factor = 1.5;
    /// Requests over which the mean size is averaged.
    double averaging_requests = 50;
  };

  explicit memory_headroom(const options& settings) : settings_(settings) {}

  /// \brief Includes a new request in the mean size of its service.
  void Learn(const reservation_request& request);

  /// \param engine_tokens Memory of one engine in tokens; 0: unknown, no headroom is required.
  /// \returns Tokens that must remain free besides the reservation.
  [[nodiscard]] double RequiredHeadroom(const reservation_request& request, double engine_tokens,
                                        instant now) const;

 private:
  options settings_;
  std::map<std::string, double, std::less<>> mean_tokens_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_MEMORY_HEADROOM_H_
