#ifndef JACINTHSPOOL_ENTRY_ENTRY_METRICS_H_
#define JACINTHSPOOL_ENTRY_ENTRY_METRICS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "jacinthspool/impl/entry_core.h"
#include "src/telemetry/metrics.h"

namespace jacinthspool {

/// \brief Metrics of an entry: outcomes and latencies of requests, and wasted prefill tokens.
class entry_metrics {
 public:
  void Accept(instant now, const caller_request& request);
  /// \brief Measures the time to the first piece, or the time since the previous one.
  void Piece(instant now, const request_id& id);
  /// \brief Counts the tokens that a prefill computed, without those from the cache.
  void Prefilled(const prefill_done& done);
  /// \brief Ends the measurement of a request.
  /// \param done true if the complete answer was delivered; the latest prefill is then not wasted.
  void Finish(instant now, const request_id& id, const std::string& outcome, bool done);
  /// \brief Counts a request that was rejected before it was accepted.
  void CountRejection(int status);
  void CountDecision(const decision& made);

  metrics_registry& registry() { return registry_; }

 private:
  struct running_request {
    std::string team;
    bool call = false;
    instant accepted;
    std::optional<instant> last_piece;
    std::uint64_t computed_tokens = 0;  ///< Sum over all prefills.
    std::uint64_t last_computed = 0;    ///< In the latest prefill.
  };

  metrics_registry registry_;
  std::unordered_map<request_id, running_request> running_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_ENTRY_METRICS_H_
