#ifndef JACINTHSPOOL_ROUTING_ROOM_RESERVE_H_
#define JACINTHSPOOL_ROUTING_ROOM_RESERVE_H_

#include <map>
#include <string>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/seat_queue.h"

namespace jacinthspool {

/// \brief Decides how much memory an engine must have left beside a claim.
///
/// The load it answers: hours in which requests of unlike sizes ask for more
/// memory than there is. One large prompt displaces several small ones, and one
/// that is late anyway displaces one that would be on time, so both are only
/// let in where room is left over. No message between gateways is needed, as
/// the engine itself tells whether it has the room.
class room_reserve {
 public:
  struct options {
    /// Part of an engine's memory that a claim that is late must leave, and the most that any must.
    double late_share = 0.2;
    /// Room that a claim must leave for each token that it is above the usual size.
    double excess_factor = 1.5;
    /// Claims over which the usual size is averaged.
    double usual_claims = 50;
  };

  explicit room_reserve(const options& settings) : settings_(settings) {}

  /// \brief Counts a new claim towards its service's usual size.
  void Learn(const seat_claim& claim);

  /// \param engine_tokens Memory of one engine; 0 when unknown, which reserves nothing.
  /// \returns Tokens that must be left beside the claim.
  [[nodiscard]] double Beside(const seat_claim& claim, double engine_tokens, instant now) const;

 private:
  options settings_;
  std::map<std::string, double, std::less<>> usual_tokens_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_ROOM_RESERVE_H_
