#ifndef JACINTHSPOOL_ROUTING_STAGE_PLAN_H_
#define JACINTHSPOOL_ROUTING_STAGE_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthspool/routing/backend_list.h"

namespace jacinthspool {

/// \brief Decides which prefill engines of a service should decode instead.
///
/// The load it answers: streams that wait for decode memory while prefill
/// engines idle. Every process that knows the same list makes the same plan, and
/// each engine's own sidecar carries out only its engine's part.
class stage_plan {
 public:
  struct options {
    std::uint32_t prefill_percent = 22;  ///< Of the service's engines that keep prefilling.
    std::uint32_t least_prefill = 6;     ///< Engines that keep prefilling: few need more headroom.
  };

  explicit stage_plan(const options& settings) : settings_(settings) {}

  /// \param engines Published servers of one service.
  /// \param id The engine in question.
  /// \returns true when it prefills and should decode.
  [[nodiscard]] bool ShouldDecode(const std::vector<backend_record>& engines,
                                  const std::string& id) const;

 private:
  options settings_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_STAGE_PLAN_H_
