#ifndef JACINTHSPOOL_ENTRY_ENTRY_METRICS_H_
#define JACINTHSPOOL_ENTRY_ENTRY_METRICS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "jacinthspool/impl/entry_core.h"
#include "src/telemetry/metrics.h"

namespace jacinthspool {

/// \brief Counts what callers see: outcomes, latencies, prefill work that was wasted.
class entry_metrics {
 public:
  void Accept(instant now, const caller_request& asked);
  void Piece(instant now, const request_id& id);
  /// \brief An agent reports a finished prefill of the request.
  void Prefilled(const prefill_done& done);
  /// \brief The request has ended; `done` when its whole answer was delivered.
  void Finish(instant now, const request_id& id, const std::string& outcome, bool done);
  /// \brief A request was turned away before it was accepted.
  void Reject(int status);
  void Decide(const decision& made);

  metrics_registry& registry() { return registry_; }

 private:
  struct running_request {
    std::string team;
    bool call = false;
    instant accepted;
    std::optional<instant> last_piece;
    std::uint64_t computed_tokens = 0;  ///< Over all prefills.
    std::uint64_t last_computed = 0;    ///< In the latest prefill.
  };

  metrics_registry registry_;
  std::unordered_map<request_id, running_request> running_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_ENTRY_METRICS_H_
