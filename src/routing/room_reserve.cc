#include "jacinthspool/routing/room_reserve.h"

#include <algorithm>

namespace jacinthspool {

void room_reserve::Learn(const seat_claim& claim) {
  const auto [usual, first] = usual_tokens_.try_emplace(claim.service, claim.tokens);
  if (!first) {
    usual->second += (claim.tokens - usual->second) / settings_.usual_claims;
  }
}

double room_reserve::Beside(const seat_claim& claim, double engine_tokens, instant now) const {
  if (claim.resumes) {
    return 0;
  }
  const double most =
      std::clamp(engine_tokens - claim.tokens, 0.0, settings_.late_share * engine_tokens);
  if (seat_queue::IsLate(claim, now)) {
    return most;
  }
  const auto usual = usual_tokens_.find(claim.service);
  const double excess =
      usual == usual_tokens_.end() ? 0 : std::max(0.0, claim.tokens - usual->second);
  return std::min(settings_.excess_factor * excess, most);
}

}  // namespace jacinthspool
