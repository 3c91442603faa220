#ifndef JACINTHSPOOL_AGENT_AGENT_PROCESS_H_
#define JACINTHSPOOL_AGENT_AGENT_PROCESS_H_

#include <memory>
#include <optional>
#include <string>

#include "jacinthspool/impl/agent_core.h"
#include "jacinthspool/impl/drain.h"
#include "src/agent/agent_metrics.h"
#include "src/agent/backend_client.h"
#include "src/agent/effect_queue.h"
#include "src/agent/entry_links.h"
#include "src/agent/vm_watch.h"
#include "src/settings/settings_source.h"
#include "src/settings/settings_store.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/http_server.h"
#include "src/transport/key_ring.h"
#include "src/transport/peer.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief The agent process of one backend server: passes events to the agent core and executes the
/// effects that the core returns.
class agent_process {
 public:
  agent_process(std::shared_ptr<const process_settings> process, std::string process_file);

  /// \brief Reads the keys, binds the listening addresses and starts reading the settings.
  /// \param error Set to the reason if the call fails.
  /// \returns true if the keys could be read and the addresses bound.
  [[nodiscard]] bool Start(std::string& error);

  /// \brief Runs the event loop until a planned stop has been requested and all work has ended.
  void Run();

 private:
  void HandleEvent(const agent_event& event);
  void ExecuteEffects();
  /// \returns true if the effect orders new work and the core's clock reading is too old for it.
  [[nodiscard]] bool ClockIsStaleFor(const agent_effect& effect) const;
  void Execute(const send_to_entry& effect);
  void Execute(const order_prefill& order);
  void Execute(const order_decode& order);
  void Execute(const order_call& order);
  void Execute(const order_release& order);
  void Execute(const log_decision& effect);
  void ScheduleWakeup();

  void ApplySettings(const settings_snapshot& settings);
  void OpenBackend(work_kind kind);
  void OnSuperseded();
  void SetDraining(drain_reason reason, bool leaving);
  void StartPlannedStop();
  [[nodiscard]] bool AllWorkEnded() const;
  void StopWhenIdle();
  void Reload();
  void SendHeartbeats();
  void Serve(const std::shared_ptr<http_exchange>& exchange);
  [[nodiscard]] std::string Status() const;

  std::shared_ptr<const process_settings> process_;
  std::string process_file_;
  incarnation_id incarnation_;
  event_loop loop_;
  timer_service timers_;
  http_client client_;
  key_ring keys_;
  drain drain_;
  agent_metrics metrics_;

  agent_core core_;
  instant core_clock_;  ///< Clock reading of the event that the core handled last.
  effect_queue effects_;
  bool executing_ = false;
  std::optional<instant> scheduled_wakeup_;
  timer_subscription wakeup_timer_;
  timer_subscription heartbeat_timer_;
  timer_subscription stop_timer_;
  microseconds heartbeat_interval_{};
  microseconds engine_timeout_ = seconds(10);
  bool superseded_ = false;

  settings_store store_;
  entry_links links_;
  std::optional<work_kind> kind_;
  std::optional<backend_client> backend_;
  std::unique_ptr<settings_source> source_;
  std::unique_ptr<vm_watch> vms_;
  std::unique_ptr<peer_server> peers_;
  std::unique_ptr<http_server> http_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_AGENT_PROCESS_H_
