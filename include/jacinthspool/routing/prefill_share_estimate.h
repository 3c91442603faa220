#ifndef JACINTHSPOOL_ROUTING_PREFILL_SHARE_ESTIMATE_H_
#define JACINTHSPOOL_ROUTING_PREFILL_SHARE_ESTIMATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Estimates which share of a service's engines should prefill.
///
/// Avoids idle prefill engines while decode memory is short, and the reverse. Decode
/// engines whose memory is full admit as many requests as they complete. It suffices
/// that the prefill engines process the prompts of these at a given utilisation;
/// all other engines are of more use for decoding.
class prefill_share_estimate {
 public:
  struct options {
    /// Utilisation of prefill engines while all decode memory is in use. The rest absorbs uneven
    /// arrivals.
    double prefill_utilisation = 0.7;
    /// Requests over which sizes and times are averaged.
    double averaging_requests = 150;
    /// Requests of a service before a share is estimated.
    double min_requests = 30;
    /// Time per output token before the first stream has ended.
    microseconds default_token_time = microseconds(4500);
  };

  explicit prefill_share_estimate(const options& settings) : settings_(settings) {}

  /// \brief Records a request for a reservation.
  /// \param reserved_tokens KV cache that it needs in a decode engine.
  void OnRequest(const std::string& service, std::uint64_t prompt_tokens, double reserved_tokens,
                 std::uint64_t expected_output_tokens);

  /// \brief Records the output tokens of a stream.
  /// \param taken Time since its first event.
  void OnOutput(const std::string& service, std::uint64_t tokens, microseconds taken);

  /// \param engine_tokens KV cache capacity of one engine; 0: unknown.
  /// \param prefill_rate Prompt tokens that a prefill engine processes per microsecond; 0: unknown.
  /// \returns The share of the engines that should prefill, or nothing while too little is known.
  [[nodiscard]] std::optional<double> PrefillShare(const std::string& service, double engine_tokens,
                                                   double prefill_rate) const;

 private:
  struct averages {
    double requests = 0;
    double prompt_tokens = 0;
    double reserved_tokens = 0;
    double reserved_output = 0;  ///< Product of reserved and output tokens.
    double streams = 0;
    double token_time_us = 0;  ///< Per output token; 0: unknown.
  };

  options settings_;
  std::map<std::string, averages> services_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_PREFILL_SHARE_ESTIMATE_H_
