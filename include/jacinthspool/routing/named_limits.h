#ifndef JACINTHSPOOL_ROUTING_NAMED_LIMITS_H_
#define JACINTHSPOOL_ROUTING_NAMED_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/rate_statement.h"

namespace jacinthspool {

/// \brief The newest statement of one incarnation of a backend server about its request rate.
struct named_limit {
  std::string backend = {};
  std::uint64_t started_ms = 0;           ///< Incarnation, as in `backend_record`.
  std::optional<double> per_second = {};  ///< Of all gateways together; nothing: unlimited again.
  instant stated{};  ///< When the newest reply that states it arrived at a gateway.
};

/// \brief The request rates that backend servers accept, as stated in their replies.
///
/// A statement holds until a newer one. Replies overtake each other, so a reply
/// without a limit lifts it only when its request was sent after the limit was
/// stated.
class named_limits {
 public:
  struct options {
    /// A server that is lifted or not heard from for this time is forgotten.
    microseconds retention = seconds(600);
  };
  /// \brief What a statement changed.
  enum class change { kNone, kNamed, kChanged, kLifted };

  explicit named_limits(const options& settings) : settings_(settings) {}

  /// \brief Applies what a reply states.
  /// \param sent When the request was sent that the reply answers.
  change OnReply(const std::string& backend, std::uint64_t started_ms,
                 const rate_statement& statement, instant sent, instant now);

  /// \brief Applies what another gateway has heard, if it is newer.
  change OnPeer(const named_limit& heard);

  /// \returns The limit in force of that incarnation, in requests a second, or nothing.
  [[nodiscard]] std::optional<double> Find(const std::string& backend,
                                           std::uint64_t started_ms) const;

  /// \returns All statements, lifted limits included.
  [[nodiscard]] const std::map<std::string, named_limit>& all() const { return limits_; }

  /// \returns true when some server's limit is in force.
  [[nodiscard]] bool any() const;

  void Expire(instant now);

 private:
  change Apply(const named_limit& next);

  options settings_;
  std::map<std::string, named_limit> limits_;  ///< By server.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_NAMED_LIMITS_H_
