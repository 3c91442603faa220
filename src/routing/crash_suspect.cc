#include "jacinthspool/routing/crash_suspect.h"

#include <xxhash.h>

#include <cinttypes>
#include <cstdio>
#include <memory>

#include "jacinthspool/impl/overloaded.h"

namespace jacinthspool {

request_digest DigestOf(std::string_view method, std::string_view host, std::string_view target,
                        std::string_view body) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                       &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  for (const std::string_view field : {method, host, target, body}) {
    // With its length first, no field continues in the next one.
    const std::uint64_t length = field.size();
    XXH3_128bits_update(state.get(), &length, sizeof(length));
    XXH3_128bits_update(state.get(), field.data(), field.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {.high = hash.high64, .low = hash.low64};
}

std::uint64_t crash_suspect::Key() const {
  return std::visit(overloaded{[](prompt_part part) { return part; },
                               [](const request_digest& request) { return request.low; }},
                    what_);
}

std::string ToString(const crash_suspect& suspect) {
  char text[40];
  std::visit(
      overloaded{[&](prompt_part part) { std::snprintf(text, sizeof(text), "%" PRIx64, part); },
                 [&](const request_digest& request) {
                   std::snprintf(text, sizeof(text), "%016" PRIx64 "%016" PRIx64, request.high,
                                 request.low);
                 }},
      suspect.what());
  return text;
}

}  // namespace jacinthspool
