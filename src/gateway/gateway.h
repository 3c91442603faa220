#ifndef JACINTHSPOOL_GATEWAY_GATEWAY_H_
#define JACINTHSPOOL_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/gateway/discovery.h"
#include "src/gateway/forward_exchange.h"
#include "src/gateway/gateway_context.h"
#include "src/gateway/slot_dispatcher.h"
#include "src/gateway/snapshot.h"
#include "src/gateway/stream_directory.h"
#include "src/gateway/tenant_payments.h"
#include "src/settings/settings.h"
#include "src/telemetry/line_limit.h"

namespace jacinthspool {

/// \brief Routes callers' requests to the published backend servers.
class gateway : public discovery_listener {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    http1_client& client;
    const wire_dialect& dialect;
    std::string data_centre;
    std::string name = {};  ///< Of this process, unique among the gateways.
    instant started{};      ///< Start of the process; earlier use of the retry budget is unknown.
    /// Called with the limits of each configuration that becomes active.
    std::function<void(const edge_limits&)> on_limits = {};
    /// Has the publisher confirm the list of servers; empty: it can't.
    std::function<void()> confirm_list = {};
  };

  explicit gateway(const options& settings);
  ~gateway() override;

  /// \brief Applies the retry limits of the settings; requests in progress continue.
  void ApplySettings(const gateway_settings& settings);

  /// \brief Answers a request, at once or later.
  void HandleRequest(http1_request request, http1_responder answer);

  /// \brief Applies the end of the process to all requests, those in progress included.
  void BeginStop(const planned_stop& stop);

  /// \brief Rejects all further requests; those in progress continue.
  ///
  /// For the end of a planned stop: a request on a kept-alive connection may arrive so late that
  /// its answer could not end in time.
  void RejectNewRequests() { rejecting_ = true; }

  void OnConfiguration(std::shared_ptr<const forward_configuration> next) override;
  void OnBackends(std::vector<backend_record> records, store_position at) override;
  void OnBackendPut(backend_record record) override;
  void OnBackendRemoved(const std::string& id, store_position at) override;
  void OnPublisherLost(const std::string& reason) override;
  void OnPublisherRegained() override;
  void OnBackendsConfirmed(instant sent) override;
  void OnConfigurationLost() override;
  void OnConfigurationRegained() override;
  void OnConfigurationConfirmed(instant sent) override;

  /// \brief Applies another gateway's snapshot, where it is newer.
  void ApplySnapshot(gateway_snapshot other);
  [[nodiscard]] gateway_snapshot Snapshot(const snapshot_scope& scope = {}) const;
  /// \returns The parts of another gateway's snapshot that could be newer than the state here.
  [[nodiscard]] snapshot_scope WantedScope() const;

  /// \brief Which gateways' reports a snapshot holds.
  enum class fleet_scope {
    kOwn,  ///< Only that of this gateway.
    kAll,  ///< All, while a limit is in force; otherwise that of this gateway.
  };
  /// \returns The limits that backend servers have named, and reports on the callers of gateways.
  [[nodiscard]] gateway_snapshot FleetSnapshot(fleet_scope scope) const;
  /// \brief Applies the limits and reports of another gateway's snapshot.
  void ApplyFleet(const gateway_snapshot& other);
  /// \brief Called when another gateway has answered this one.
  void OnPeerAnswer();
  /// \returns true while some backend server's limit is in force.
  [[nodiscard]] bool limited() const { return context_.limiter.limits().any(); }

  /// \returns true once after each change of the crash reports that all gateways should know at
  /// once.
  [[nodiscard]] bool TakeCrashNews() { return context_.quarantine.TakeNews(); }
  /// \returns true once after each such change that another gateway has reported.
  [[nodiscard]] bool TakePeerCrashNews() { return context_.quarantine.TakePeerNews(); }
  /// \returns true while some server that has ended is remembered.
  [[nodiscard]] bool has_crash_reports() const { return !context_.quarantine.reports().empty(); }

  /// \returns true while what is believed of some engine's pace has changed lately.
  [[nodiscard]] bool has_pace_news() const { return context_.pace.HasNews(timer_service::now()); }

  /// \brief Sets the number of gateways that share the retry budget and the servers' limits.
  void SetGateways(std::uint32_t gateways);

  /// \returns The configuration in force; null before the first.
  [[nodiscard]] const std::shared_ptr<const forward_configuration>& configuration() const {
    return context_.routes.configuration();
  }
  /// \returns true once a configuration and a list are known.
  [[nodiscard]] bool can_route() const;
  [[nodiscard]] bool publisher_lost() const { return publisher_lost_; }
  /// \returns true while changes of the configuration or of the servers are not reported, and while
  /// the configuration's keys may soon be too old to admit requests.
  [[nodiscard]] bool lacks_news() const {
    return publisher_lost_ || configuration_lost_ || context_.freshness.Ages(timer_service::now());
  }
  /// \returns Time since the publisher last answered a call for the configuration.
  [[nodiscard]] microseconds configuration_age(instant now) const {
    return now - configuration_confirmed_;
  }
  /// \returns When the configuration in force was known to be the newest; nothing: never.
  [[nodiscard]] std::optional<instant> confirmed_as_of() const {
    return context_.freshness.as_of();
  }
  [[nodiscard]] std::size_t in_progress() const { return exchanges_.size(); }
  /// \returns Bytes of answers that have arrived and are not forwarded yet.
  [[nodiscard]] std::size_t held_answer_bytes() const {
    return context_.bytes.held(held_kind::kIncomplete);
  }
  /// \returns What is held for callers and servers; the edge reports what it holds.
  [[nodiscard]] byte_budget& bytes() { return context_.bytes; }
  /// \returns Number of requests that wait for a reservation or a request slot.
  [[nodiscard]] std::size_t waiting() const { return reservations_.waiting() + slots_.waiting(); }
  [[nodiscard]] tenant_payments& payments() { return payments_; }
  [[nodiscard]] stream_directory& streams() { return streams_; }
  [[nodiscard]] metrics_registry& metrics() { return context_.metrics; }

 private:
  enum class configuration_source { kPublisher, kPeer };
  void ApplyConfiguration(std::shared_ptr<const forward_configuration> next,
                          configuration_source source);
  void UpdateSelector();
  /// \brief A request that may be admitted.
  struct admissible {
    forward_request request;
    std::shared_ptr<const forward_route> route;
    std::string service;
    std::optional<caller_identity> caller;
    instant received{};
  };
  /// \brief Finds the version that may go on with the caller's stream.
  void TakeUp(admissible admitted, http1_responder answer);
  /// \returns Why the stream cannot go on; empty: it can.
  [[nodiscard]] std::string_view ObstacleTo(const stream_directory::finding& found,
                                            const admissible& admitted) const;
  /// \returns The greatest age of the stream, by the time that callers of its route wait.
  [[nodiscard]] microseconds LongestAge(const admissible& admitted) const;
  /// \returns The number of servers that can go on with a stream of that origin.
  [[nodiscard]] std::size_t ServersOf(const stream_origin& origin) const;
  void ReportTakenUp(const forward_request& request, const stream_directory::finding& found,
                     std::string_view obstacle);
  /// \brief Forwards a request once it is paid for.
  /// \param software Version that the request must be sent to; nothing: any.
  void Admit(admissible admitted, std::optional<std::string> software, http1_responder answer);
  void Forward(forward_exchange::options settings);
  /// \brief Logs what is held and released, and applies it to the requests in progress.
  void ApplyVerdicts(instant now);
  /// \brief The registration of a server has lapsed, or names another incarnation.
  void OnLapsed(const backend_record& before);
  void Reject(http1_responder answer, int status, std::string_view id, std::string_view why,
              milliseconds retry_after);

  gateway_context context_;
  reservation_dispatcher reservations_;
  slot_dispatcher slots_;
  tenant_payments payments_;
  stream_directory streams_;
  std::function<void(const edge_limits&)> on_limits_;
  std::set<std::shared_ptr<forward_exchange>> exchanges_;
  timer_subscription expiry_;
  timer_subscription share_report_;
  std::set<crash_suspect> held_;                                      ///< As last logged.
  line_limit pace_lines_{{.max_lines = 100, .period = seconds(60)}};  ///< By server.
  bool list_known_ = false;
  bool rejecting_ = false;
  bool publisher_lost_ = true;
  bool configuration_lost_ = false;
  instant configuration_confirmed_;  ///< By the publisher; before the first time, the start.
  bool keys_unconfirmed_ = false;    ///< As last logged.
  line_limit refused_lines_{{}};     ///< Of configurations, by version.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_GATEWAY_H_
