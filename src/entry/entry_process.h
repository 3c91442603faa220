#ifndef JACINTHSPOOL_ENTRY_ENTRY_PROCESS_H_
#define JACINTHSPOOL_ENTRY_ENTRY_PROCESS_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "jacinthspool/impl/entry_core.h"
#include "src/entry/agent_links.h"
#include "src/entry/caller_answer.h"
#include "src/entry/caller_tokens.h"
#include "src/entry/entry_metrics.h"
#include "src/entry/stream_aborter.h"
#include "src/settings/settings_source.h"
#include "src/settings/settings_store.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/http_server.h"
#include "src/transport/key_ring.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief The entry process, which serves callers: passes events to the entry core and executes the
/// effects that the core returns.
class entry_process {
 public:
  entry_process(std::shared_ptr<const process_settings> process, std::string process_file);

  /// \brief Reads the keys, binds the listening address, connects to the bootstrap peers and starts
  /// reading the settings.
  /// \param error Set to the reason if the call fails.
  /// \returns true if the keys could be read and the address bound.
  [[nodiscard]] bool Start(std::string& error);

  /// \brief Runs the event loop until a planned stop has been requested and all requests have
  /// ended.
  void Run();

 private:
  // Events and effects.
  /// \brief Handles an event, or queues it while another one is handled.
  void EnqueueEvent(entry_event event);
  void Handle(entry_event event);
  void Execute(const send_to_agent& effect);
  void Execute(const deliver_piece& effect);
  void Execute(const deliver_end& effect);
  void Execute(const deliver_call& effect);
  void Execute(const deliver_not_run& effect);
  void Execute(const deliver_unknown& effect);
  void Execute(const deliver_failed& effect);
  void Execute(const log_entry_decision& effect);
  void Finish(const request_id& id, const std::string& outcome, bool done);
  void Fail(const request_id& id, const std::string& outcome, const api_error& error);
  void DropCaller(const request_id& id);
  void ScheduleWakeup();

  // HTTP requests of callers and operators.
  void Serve(const std::shared_ptr<http_exchange>& exchange);
  void ServeTeam(const std::shared_ptr<http_exchange>& exchange, const std::string& team);
  void ServeCompletion(const std::shared_ptr<http_exchange>& exchange, const std::string& team,
                       completion_kind kind);
  void ServeCall(const std::shared_ptr<http_exchange>& exchange, const std::string& team);
  void ServeModels(http_exchange& exchange, const std::string& team);
  void Accept(const std::shared_ptr<http_exchange>& exchange, caller_request request,
              answer_form form);
  void Reject(http_exchange& exchange, const api_error& error);
  [[nodiscard]] bool ServeOperator(http_exchange& exchange);
  [[nodiscard]] std::string Status() const;

  // Settings and planned stop.
  void ApplySettings(const std::shared_ptr<const settings_snapshot>& settings);
  void Reload();
  void StartPlannedStop();
  void StopWhenIdle();

  std::shared_ptr<const process_settings> process_;
  std::string process_file_;
  incarnation_id incarnation_;
  std::uint64_t last_request_counter_ = 0;
  event_loop loop_;
  timer_service timers_;
  http_client client_;
  key_ring keys_;
  entry_metrics metrics_;
  entry_core core_;
  std::unordered_map<request_id, caller_answer> callers_;
  stream_aborter aborter_;
  std::deque<entry_event> pending_events_;  ///< Events that arrived while another one was handled.
  bool handling_ = false;
  std::optional<instant> scheduled_wakeup_;
  timer_subscription wakeup_timer_;
  timer_subscription stop_timer_;
  bool stopping_ = false;

  settings_store store_;
  std::shared_ptr<const settings_snapshot> settings_;
  caller_tokens tokens_;
  std::unique_ptr<agent_links> links_;
  std::unique_ptr<settings_source> source_;
  std::unique_ptr<http_server> http_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_ENTRY_PROCESS_H_
