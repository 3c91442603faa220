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
/// The load it answers: streams that wait for decode memory while prefill
/// engines idle, and prompts that wait for a prefill while decode memory is
/// free. Every process that knows the same list and the same share makes the
/// same plan, and each engine's own sidecar carries out only its engine's part.
class stage_plan {
 public:
  struct options {
    /// Of the service's engines that keep prefilling while the wanted share is not known.
    std::uint32_t prefill_percent = 23;
    /// Engines that keep prefilling while it is not known.
    std::uint32_t least_prefill = 2;
    /// The number of prefill engines may be off the wanted one by this many engines.
    double slack_engines = 0.8;
    /// And by this part of it, so that estimates that differ a little move no engine.
    double slack_share = 0.1;
  };

  explicit stage_plan(const options& settings) : settings_(settings) {}

  /// \param engines Published servers of one service.
  /// \param id The engine in question.
  /// \param prefill_share The part of the engines that should prefill; nothing: not known.
  /// \returns The stage that it should change to, or nothing when it should stay as it is.
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
