#include "jacinthspool/routing/prefill_placement.h"

#include <algorithm>
#include <cmath>

namespace jacinthspool {

void prefill_placement::RecordPrefill(const std::string& service, prefill_place place,
                                      std::uint64_t prompt_tokens, microseconds taken,
                                      instant now) {
  if (prompt_tokens == 0 || taken <= microseconds(0)) {
    return;
  }
  service_state& state = services_[service];
  const double rate = static_cast<double>(prompt_tokens) / static_cast<double>(taken.count());
  const bool apart = place == prefill_place::kPrefillEngine;
  if (apart) {
    UpdateRate(state, rate);
  }
  if (state.rate == 0) {
    return;
  }
  slowdown& known = apart ? state.prefill_engines : state.decode_engines;
  const double before = Decayed(known, apart ? 1 : settings_.default_decode_slowdown, now);
  known = {.factor = before + settings_.newest_weight * (state.rate / rate - before), .seen = now};
}

void prefill_placement::UpdateRate(service_state& state, double rate) const {
  state.prefills = std::min(state.prefills + 1, settings_.averaging_prefills);
  if (state.rate == 0) {
    state.rate = rate;
    return;
  }
  // Converges to the quantile below which `batched_share` of the rates lie.
  const double up = settings_.batched_share;
  state.rate *= 1 + (rate > state.rate ? up : up - 1) / state.prefills;
}

double prefill_placement::Decayed(const slowdown& known, double usual, instant now) const {
  if (known.factor == 0) {
    return usual;
  }
  const std::chrono::duration<double> age = now - known.seen;
  const std::chrono::duration<double> half = settings_.half_life;
  return usual + (known.factor - usual) * std::exp2(-age / half);
}

prefill_place prefill_placement::Choose(const std::string& service, std::uint64_t prompt_tokens,
                                        microseconds time_left, instant now) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.rate == 0) {
    return prefill_place::kPrefillEngine;
  }
  const service_state& state = found->second;
  const double alone_us = static_cast<double>(prompt_tokens) / state.rate;
  const double apart_us = alone_us * Decayed(state.prefill_engines, 1, now) +
                          static_cast<double>(settings_.transfer_time.count());
  const double in_place_us =
      alone_us * Decayed(state.decode_engines, settings_.default_decode_slowdown, now);
  const auto left_us = static_cast<double>(time_left.count());
  return apart_us > left_us && in_place_us <= left_us ? prefill_place::kDecodeEngine
                                                      : prefill_place::kPrefillEngine;
}

double prefill_placement::prefill_rate(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.rate;
}

}  // namespace jacinthspool
