#ifndef JACINTHSPOOL_IMPL_AGENT_CORE_H_
#define JACINTHSPOOL_IMPL_AGENT_CORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jacinthspool/impl/decision.h"
#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/messages.h"
#include "jacinthspool/impl/run_ledger.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Settings of an agent: capacity, timing and team shares of its backend server and pool.
struct agent_policy {
  work_kind kind = work_kind::kDecode;
  std::uint32_t pieces = 20;
  std::uint32_t max_running = 20;
  std::uint32_t max_queued = 64;
  double prefill_tokens_per_s = 20000;
  microseconds token_time = milliseconds(25);
  microseconds kv_life = milliseconds(800);
  double kv_bytes_per_token = 131072;
  double link_bytes_per_s = 12.5e9;
  microseconds lease = seconds(4);
  microseconds grant_life = seconds(2);
  microseconds cancel_retry_interval = milliseconds(200);
  microseconds transfer_timeout = seconds(2);
  microseconds answer_retained = seconds(10);
  microseconds key_retained = seconds(600);
  struct team_share {
    std::string team;
    std::uint32_t percent = 100;
  };
  microseconds clock_skew = seconds(5);  ///< Largest difference between wall clocks, for keys.
  std::vector<team_share> shares;        ///< Teams that may use the pool; others are rejected.
};

/// \brief An entry has connected; its lease starts now.
struct entry_up {
  incarnation_id entry = 0;
  std::string name = {};
};
/// \brief An entry's connection has closed; its lease continues until it expires.
struct entry_down {
  incarnation_id entry = 0;
};
struct entry_message {
  incarnation_id entry = 0;
  message body;
};
struct engine_prefilled {
  attempt_id id;
  kv_handle kv = {};
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
};
/// \brief The next piece of an attempt's text; the core assigns the offsets.
struct engine_piece {
  attempt_id id;
  std::string text = {};
};
struct engine_finished {
  attempt_id id;
  std::string finish_reason = {};
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
};
struct engine_failed {
  attempt_id id;
  run_state ran = run_state::kUnknown;
  std::string detail = {};
};
/// \brief The engine confirms that it holds no memory for the attempt.
struct engine_released {
  attempt_id id;
};
struct service_answered {
  attempt_id id;
  std::uint16_t status = 0;
  std::vector<header_field> headers = {};
  std::vector<std::uint8_t> body = {};
};
/// \brief State reported by the backend server; it lags behind the agent's own accounting.
struct backend_report {
  bool up = true;
  std::uint32_t pieces_held = 0;
};
struct policy_changed {
  agent_policy policy;
};
/// \brief Draining of the backend server has started or was revoked.
struct draining_changed {
  bool leaving = true;
};
/// \brief Timer event: only the time has changed.
struct time_passed {};

using agent_event =
    std::variant<entry_up, entry_down, entry_message, engine_prefilled, engine_piece,
                 engine_finished, engine_failed, engine_released, service_answered, backend_report,
                 policy_changed, draining_changed, time_passed>;

struct send_to_entry {
  incarnation_id entry = 0;
  message body;
};
struct order_prefill {
  attempt_id id;
  std::string engine_request = {};
  std::uint8_t priority = 1;  ///< 0 is the most urgent.
};
struct order_decode {
  attempt_id id;
  std::string engine_request = {};
  kv_handle kv;
  microseconds transfer_timeout{};
  std::uint8_t priority = 1;  ///< 0 is the most urgent.
};
struct order_call {
  attempt_id id;
  call_request call;
  microseconds deadline_in{};
  std::uint8_t priority = 1;  ///< 0 is the most urgent.
};
/// \brief Stops the attempt at the backend server, which confirms with `engine_released`.
struct order_release {
  attempt_id id;
};
struct log_decision {
  decision made;
};

using agent_effect = std::variant<send_to_entry, order_prefill, order_decode, order_call,
                                  order_release, log_decision>;
using agent_effects = std::vector<agent_effect>;

/// \brief State machine of an agent: grants, runs, memory, queue and leases.
///
/// Performs no I/O and reads no clock: the caller passes in the time and the
/// events, and executes the returned effects in order. The protocol is
/// described in docs/design/protocol.md.
///
/// \code
/// agent_core core({.incarnation = 7, .policy = policy});
/// for (agent_effect& effect : core.Handle(now, entry_message{entry, body})) Execute(effect);
/// \endcode
class agent_core {
 public:
  struct options {
    incarnation_id incarnation = 0;
    std::string backend;
    agent_policy policy;
    std::optional<instant> started = {};  ///< Start of this incarnation; default: the first event.
    wall_time started_wall{};             ///< `started` on the wall clock.
  };

  explicit agent_core(options settings);
  ~agent_core();
  agent_core(agent_core&&) noexcept;
  agent_core& operator=(agent_core&&) noexcept;

  /// \brief Processes one event, after everything that has expired by `now`.
  /// \returns The effects to execute, in order.
  [[nodiscard]] agent_effects Handle(instant now, agent_event event);

  /// \returns When Handle(time_passed) is next due; nothing when no timer is set.
  [[nodiscard]] std::optional<instant> next_wakeup() const;

  /// \returns The load as sent in heartbeats, offers and rejections.
  [[nodiscard]] agent_load load(instant now) const;

  /// \returns true when no attempt is granted, queued, running or awaiting release.
  [[nodiscard]] bool idle() const;

  /// \returns Number of retained answers that their entry has not acknowledged.
  [[nodiscard]] std::size_t unacknowledged() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_AGENT_CORE_H_
