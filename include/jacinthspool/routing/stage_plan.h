#ifndef JACINTHSPOOL_ROUTING_STAGE_PLAN_H_
#define JACINTHSPOOL_ROUTING_STAGE_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/routing/backend_list.h"

namespace jacinthspool {

/// \brief Decides which engines of a service should change between prefill and decode.
///
/// Avoids streams that wait for decode memory while prefill engines are idle, and
/// prompts that wait for a prefill while decode memory is free. The plan depends only
/// on the list and the share, so all processes that know the same ones agree on it,
/// and each engine's sidecar applies only its own engine's part.
class stage_plan {
 public:
  struct options {
    /// Percentage of the service's engines that keep prefilling while the wanted share is unknown.
    std::uint32_t prefill_percent = 23;
    /// Number of engines that keep prefilling while the wanted share is unknown.
    std::uint32_t min_prefill = 2;
    /// Tolerated difference from the wanted number of prefill engines.
    double slack_engines = 0.8;
    /// Tolerated relative difference, so that small changes of the estimate move no engine.
    double slack_share = 0.1;
  };

  explicit stage_plan(const options& settings) : settings_(settings) {}

  /// \param engines Published servers of one service.
  /// \param id The engine for which to decide.
  /// \param prefill_share The share of the engines that should prefill; nothing: unknown.
  /// \returns The stage that the engine should change to, or nothing when it should not change.
  [[nodiscard]] std::optional<engine_stage> Change(const std::vector<backend_record>& engines,
                                                   const std::string& id,
                                                   std::optional<double> prefill_share) const;

 private:
  /// \brief The fewest and the most engines that should prefill.
  struct bounds {
    std::size_t least = 0;
    std::size_t most = 0;
  };
  [[nodiscard]] bounds BoundsFor(std::size_t engines, std::optional<double> prefill_share) const;

  options settings_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_STAGE_PLAN_H_
