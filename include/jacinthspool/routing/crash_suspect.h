#ifndef JACINTHSPOOL_ROUTING_CRASH_SUSPECT_H_
#define JACINTHSPOOL_ROUTING_CRASH_SUSPECT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace jacinthspool {

/// \brief A part of a prompt that requests share, such as a system prompt or a document.
using prompt_part = std::uint64_t;

/// \brief Digest of a whole request, equal each time its caller sends it again.
struct request_digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the rewritten comparison.
  friend auto operator<=>(const request_digest&, const request_digest&) = default;
};

/// \returns The digest of what stays the same when a request is sent again; equal in all processes.
[[nodiscard]] request_digest DigestOf(std::string_view method, std::string_view host,
                                      std::string_view target, std::string_view body);

/// \brief What backend servers may have ended of: a part of prompts, or one whole request.
class crash_suspect {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): a part is a suspect.
  constexpr crash_suspect(prompt_part part = 0) : what_(part) {}
  // NOLINTNEXTLINE(google-explicit-constructor): a request is a suspect.
  constexpr crash_suspect(request_digest request) : what_(request) {}

  [[nodiscard]] constexpr const std::variant<prompt_part, request_digest>& what() const {
    return what_;
  }
  [[nodiscard]] constexpr bool is_request() const {
    return std::holds_alternative<request_digest>(what_);
  }
  /// \returns A number by which gateways agree on an order, and on one of them.
  [[nodiscard]] std::uint64_t Key() const;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the rewritten comparison.
  friend auto operator<=>(const crash_suspect&, const crash_suspect&) = default;

 private:
  std::variant<prompt_part, request_digest> what_;
};

/// \returns The suspect in hexadecimal, for the log: a part's id, or a request's digest of 32
/// digits.
[[nodiscard]] std::string ToString(const crash_suspect& suspect);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CRASH_SUSPECT_H_
