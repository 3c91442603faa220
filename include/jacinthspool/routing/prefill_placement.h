#ifndef JACINTHSPOOL_ROUTING_PREFILL_PLACEMENT_H_
#define JACINTHSPOOL_ROUTING_PREFILL_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Which engine prefills a prompt.
enum class prefill_place {
  kPrefillEngine,  ///< A prefill engine; the KV cache is transferred to the decode engine.
  kDecodeEngine,   ///< The engine that decodes the answer, in between other streams' tokens.
};

/// \brief Decides which engine prefills a prompt, by recent prefill times in each place.
///
/// Covers the loss or slowness of prefill engines. A prefill in a decode engine
/// delays the streams there, so it is chosen only where the answer would begin on
/// time that way, and would not by way of a prefill engine.
class prefill_placement {
 public:
  struct options {
    /// Prefills over which the prefill rate is averaged.
    double averaging_prefills = 150;
    /// Fraction of the prefills that are slower than a prompt alone in an engine.
    double batched_share = 0.75;
    /// Weight of the newest prefill in the slowdown of a place.
    double newest_weight = 0.3;
    /// Of a slowdown, without new prefills.
    microseconds half_life = seconds(1);
    /// Slowdown of a decode engine relative to a prefill engine, before the first prefill there:
    /// the platform states half the speed, and concurrent streams take their share.
    double default_decode_slowdown = 2.3;
    /// From a prefill engine's answer to the first event: KV transfer and first tokens.
    microseconds transfer_time = milliseconds(90);
  };

  explicit prefill_placement(const options& settings) : settings_(settings) {}

  /// \brief Records a prefill.
  /// \param taken Time to the prefill engine's answer, or to the decode engine's first event.
  void RecordPrefill(const std::string& service, prefill_place place, std::uint64_t prompt_tokens,
                     microseconds taken, instant now);

  /// \param time_left Until the first event is late.
  /// \returns The prefill engines while their prefill rate is unknown.
  [[nodiscard]] prefill_place Choose(const std::string& service, std::uint64_t prompt_tokens,
                                     microseconds time_left, instant now) const;

  /// \returns Prompt tokens that a prefill engine processes per microsecond; 0: unknown.
  [[nodiscard]] double prefill_rate(const std::string& service) const;

 private:
  /// \brief Recent prefill time relative to a prompt alone in a prefill engine.
  struct slowdown {
    double factor = 0;  ///< 0: unknown.
    instant seen{};
  };
  struct service_state {
    double prefills = 0;
    double rate = 0;  ///< Prompt tokens per microsecond; 0: unknown.
    slowdown prefill_engines = {};
    slowdown decode_engines = {};
  };

  [[nodiscard]] double Decayed(const slowdown& known, double usual, instant now) const;
  void UpdateRate(service_state& reading, double rate) const;

  options settings_;
  std::map<std::string, service_state> services_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_PREFILL_PLACEMENT_H_
