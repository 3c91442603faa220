#ifndef JACINTHSPOOL_ROUTING_CONFIGURATION_FRESHNESS_H_
#define JACINTHSPOOL_ROUTING_CONFIGURATION_FRESHNESS_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief The configuration is known to be recent enough for its keys to hold.
struct configuration_confirmed {
  microseconds age{};  ///< Since it was known to be the newest; 0 where no bound applies.
};

/// \brief A newer configuration may have taken keys away.
struct configuration_unconfirmed {
  std::optional<microseconds> age = {};  ///< Nothing: it was never known to be the newest.
  milliseconds retry_after{};
};

using freshness_verdict = std::variant<configuration_confirmed, configuration_unconfirmed>;

/// \brief Knows when the configuration in force was last known to be the newest, and decides
/// whether requests may still be admitted by its keys.
///
/// A key that was taken away must be rejected within a bound, also where the publisher cannot be
/// reached. Every confirmation counts from a moment before the state that it describes: an own call
/// from its sending, and a peer's word from the sending of the question, less the age that the peer
/// stated. So an age never grows shorter on its way, and peers that ask each other cannot renew
/// what none of them has learned from the publisher.
///
/// The load that it answers: while no publisher can be reached, all requests that need a key are
/// rejected once the bound is reached, by all gateways that know the same.
class configuration_freshness {
 public:
  struct options {
    /// A key that was taken away admits no request after this; 0: no bound.
    microseconds bound{};
    /// Fraction of the bound that is left for the way from the check to the server.
    double margin_share = 0.02;
    /// Fraction of the longest age from which peers are asked. Below it lies the age of a
    /// confirmation just before the next, while each call of the publisher is answered.
    double ask_share = 0.75;
    /// Retry-After is the time without admission so far, between these two: a way to the publisher
    /// that has just been lost is sought often.
    milliseconds least_retry_after = milliseconds(400);
    milliseconds most_retry_after = seconds(2);
  };

  explicit configuration_freshness(const options& settings) : settings_(settings) {}

  void SetBound(microseconds bound) { settings_.bound = bound; }
  [[nodiscard]] bool bounded() const { return settings_.bound > microseconds(0); }

  /// \brief A configuration is in force from now on.
  ///
  /// What is known of the one before holds for it: a newer version was published after that moment,
  /// and was the newest then.
  /// \param needs_keys Tenants are configured.
  void OnApplied(std::uint64_t version, bool needs_keys);

  /// \brief The publisher has answered a linearizable call, and what it reported is in force.
  /// \param sent When the call was sent; of several pages, the first.
  void OnAnswer(instant sent);

  /// \brief A peer has stated when its configuration was known to be the newest.
  /// \param as_of When the peer was asked, less the age that it stated.
  void OnPeer(std::uint64_t version, instant as_of);

  /// \returns When the configuration in force was known to be the newest; nothing: never.
  [[nodiscard]] std::optional<instant> as_of() const { return as_of_; }

  /// \returns true when peers should be asked, because the confirmation is nearly as old as
  /// allowed.
  [[nodiscard]] bool Ages(instant now) const;

  /// \returns Whether a request that needs a key may be decided on.
  [[nodiscard]] freshness_verdict Check(instant now) const;

 private:
  /// \returns true while the age of the confirmation matters.
  [[nodiscard]] bool applies() const { return bounded() && needs_keys_; }
  /// \returns The age from which requests are not admitted.
  [[nodiscard]] microseconds Limit() const;

  options settings_;
  std::uint64_t version_ = 0;
  bool needs_keys_ = false;
  std::optional<instant> as_of_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CONFIGURATION_FRESHNESS_H_
