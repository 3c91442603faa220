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
#include "src/entry/stream_cutter.h"
#include "src/settings/settings_source.h"
#include "src/settings/settings_store.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/http_server.h"
#include "src/transport/key_ring.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief The process that serves callers: carries events to the core and its effects out.
class entry_process {
 public:
  entry_process(std::shared_ptr<const process_settings> process, std::string process_file);

  /// \brief Binds the address and reads the keys.
  /// \returns false and fills `error` when one of them fails.
  [[nodiscard]] bool Start(std::string& error);

  /// \brief Serves until a planned stop has let all requests end.
  void Run();

 private:
  // Events and effects.
  void Take(entry_event event);
  void Handle(entry_event event);
  void Carry(const send_to_agent& effect);
  void Carry(const deliver_piece& effect);
  void Carry(const deliver_end& effect);
  void Carry(const deliver_call& effect);
  void Carry(const deliver_not_run& effect);
  void Carry(const deliver_unknown& effect);
  void Carry(const deliver_failed& effect);
  void Carry(const log_entry_decision& effect);
  void Finish(const request_id& id, const std::string& outcome, bool done);
  void Fail(const request_id& id, const std::string& outcome, const api_error& error);
  void LeaveCaller(const request_id& id);
  void Arm();

  // Callers.
  void Serve(const std::shared_ptr<http_exchange>& exchange);
  void ServeTeam(const std::shared_ptr<http_exchange>& exchange, const std::string& team);
  void ServeCompletion(const std::shared_ptr<http_exchange>& exchange, const std::string& team,
                       completion_kind kind);
  void ServeCall(const std::shared_ptr<http_exchange>& exchange, const std::string& team);
  void ServeModels(http_exchange& exchange, const std::string& team);
  void Accept(const std::shared_ptr<http_exchange>& exchange, caller_request asked,
              answer_form form);
  void Reject(http_exchange& exchange, const api_error& error);
  [[nodiscard]] bool ServeOperators(http_exchange& exchange);
  [[nodiscard]] std::string Status() const;

  // Settings and the end.
  void ApplySettings(const std::shared_ptr<const settings_snapshot>& settings);
  void Reload();
  void StopPlanned();
  void StopWhenIdle();

  std::shared_ptr<const process_settings> process_;
  std::string process_file_;
  incarnation_id incarnation_;
  std::uint64_t accepted_ = 0;
  event_loop loop_;
  timer_service timers_;
  http_client client_;
  key_ring keys_;
  entry_metrics metrics_;
  entry_core core_;
  std::unordered_map<request_id, caller_answer> callers_;
  stream_cutter cutter_;
  std::deque<entry_event> waiting_;  ///< Events that came while another was handled.
  bool handling_ = false;
  std::optional<instant> armed_;
  timer_subscription wake_;
  timer_subscription stop_;
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
