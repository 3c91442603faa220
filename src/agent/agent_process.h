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

/// \brief The process beside one backend server: carries events to the core and its effects out.
class agent_process {
 public:
  agent_process(std::shared_ptr<const process_settings> process, std::string process_file);

  /// \brief Binds the addresses and reads the keys.
  /// \returns false and fills `error` when one of them fails.
  [[nodiscard]] bool Start(std::string& error);

  /// \brief Serves until a planned stop has let all work end.
  void Run();

 private:
  void Take(const agent_event& event);
  void CarryAll();
  [[nodiscard]] bool SleptBefore(const agent_effect& effect) const;
  void Carry(const send_to_entry& effect);
  void Carry(const order_prefill& order);
  void Carry(const order_decode& order);
  void Carry(const order_call& order);
  void Carry(const order_release& order);
  void Carry(const log_decision& effect);
  void Arm();

  void ApplySettings(const settings_snapshot& settings);
  void OpenBackend(work_kind kind);
  void Superseded();
  void Drain(drain_reason reason, bool leaving);
  void StopPlanned();
  [[nodiscard]] bool WorkIsOver() const;
  void StopWhenIdle();
  void Reload();
  void Beat();
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
  instant handled_;  ///< When the core last looked at the clock.
  effect_queue effects_;
  bool carrying_ = false;
  std::optional<instant> armed_;
  timer_subscription wake_;
  timer_subscription beat_;
  timer_subscription stop_;
  microseconds beat_every_{};
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
