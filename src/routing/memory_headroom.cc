#include "jacinthspool/routing/memory_headroom.h"

#include <algorithm>

namespace jacinthspool {

void memory_headroom::Learn(const reservation_request& request) {
  const auto [mean, first] = mean_tokens_.try_emplace(request.service, request.tokens);
  if (!first) {
    mean->second += (request.tokens - mean->second) / settings_.averaging_requests;
  }
}

double memory_headroom::RequiredHeadroom(const reservation_request& request, double engine_tokens,
                                         instant now) const {
  if (request.resumes) {
    return 0;
  }
  const double most =
      std::clamp(engine_tokens - request.tokens, 0.0, settings_.late_share * engine_tokens);
  if (admission_queue::IsLate(request, now)) {
    return most;
  }
  const auto mean = mean_tokens_.find(request.service);
  const double excess =
      mean == mean_tokens_.end() ? 0 : std::max(0.0, request.tokens - mean->second);
  return std::min(settings_.excess_factor * excess, most);
}

}  // namespace jacinthspool
