#ifndef JACINTHSPOOL_GATEWAY_GATEWAY_H_
#define JACINTHSPOOL_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/gateway/discovery.h"
#include "src/gateway/forward_exchange.h"
#include "src/gateway/gateway_context.h"
#include "src/gateway/snapshot.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Takes callers' requests and what is published, and brings them together.
class gateway : public discovery_listener {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    http1_client& client;
    const wire_dialect& dialect;
    std::string data_centre;
    instant started{};  ///< Of the process: what came before it is not known.
    /// Told the limits of each configuration that comes into force.
    std::function<void(const edge_limits&)> on_limits = {};
  };

  explicit gateway(const options& settings);
  ~gateway() override;

  /// \brief Takes the limits of a settings file; requests in progress go on.
  void ApplySettings(const gateway_settings& settings);

  /// \brief Answers a request, now or later.
  void Take(http1_request request, std::shared_ptr<http1_answer> answer);

  /// \brief From now on requests are refused at once; those in progress go on.
  ///
  /// For the end of a planned stop: on a connection that was kept since before it, a request may
  /// come so late that its answer could not end in time.
  void StopTaking() { stops_taking_ = true; }

  void OnConfiguration(std::shared_ptr<const forward_configuration> next) override;
  void OnBackends(std::vector<backend_record> records, history_position at) override;
  void OnBackendPut(backend_record record) override;
  void OnBackendRemoved(const std::string& id, history_position at) override;
  void OnPublisherLost(const std::string& reason) override;
  void OnPublisherBack() override;

  /// \brief Takes what another gateway knows, where it is newer.
  void TakeSnapshot(gateway_snapshot other);
  [[nodiscard]] gateway_snapshot Snapshot(const snapshot_scope& scope = {}) const;
  /// \returns What of another gateway's snapshot would be news here.
  [[nodiscard]] snapshot_scope Wanted() const;

  /// \brief Tells how many gateways share the budget of repeats.
  void SetGateways(std::uint32_t gateways);

  /// \returns true when it can route: a configuration and a list are known.
  [[nodiscard]] bool able() const;
  [[nodiscard]] bool publisher_lost() const { return publisher_lost_; }
  [[nodiscard]] std::size_t in_progress() const { return exchanges_.size(); }
  [[nodiscard]] metrics_registry& metrics() { return context_.metrics; }

 private:
  void UpdateSelector();
  void Refuse(http1_answer& answer, int status, std::string_view id, std::string_view why);

  gateway_context context_;
  seat_dispatcher seats_;
  std::function<void(const edge_limits&)> on_limits_;
  std::set<std::shared_ptr<forward_exchange>> exchanges_;
  timer_subscription expiry_;
  bool list_known_ = false;
  bool stops_taking_ = false;
  bool publisher_lost_ = true;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_GATEWAY_H_
