#ifndef JACINTHSPOOL_IMPL_ENTRY_CORE_H_
#define JACINTHSPOOL_IMPL_ENTRY_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jacinthspool/impl/decision.h"
#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/messages.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief A backend server that the entry can route to.
struct pool_member {
  std::string backend;
  std::string data_centre;
};

/// \brief The members of a pool and the estimates of their speed.
struct pool_view {
  std::string name;
  work_kind kind = work_kind::kDecode;
  std::vector<pool_member> members;
  std::uint32_t piece_tokens = 4096;
  double prefill_tokens_per_s = 20000;
  microseconds token_time = milliseconds(25);
  double kv_bytes_per_token = 131072;
  double link_bytes_per_s = 12.5e9;
  microseconds kv_life = milliseconds(800);
};

/// \brief Default routing: reserves decode memory before it schedules the prefill.
struct reservation_first_policy {
  std::uint32_t candidates = 2;  ///< Quotes requested for each decision.
  bool affinity = true;          ///< Prefer backend servers with a cached prefix.
};
/// \brief Baseline: round robin, without comparing quotes.
struct round_robin_policy {};
/// \brief Baseline: the least load according to the latest, delayed reports.
struct least_load_policy {};
/// \brief Baseline: prefills before it reserves decode memory.
struct prefill_first_policy {};
/// \brief Baseline: requests wait in the entry until an agent can start them immediately.
struct entry_queue_policy {
  microseconds retry_interval = milliseconds(20);  ///< Between two searches of a request.
};
using routing_policy = std::variant<reservation_first_policy, round_robin_policy, least_load_policy,
                                    prefill_first_policy, entry_queue_policy>;

struct entry_policy {
  std::string data_centre;
  std::vector<pool_view> pools;
  routing_policy routing = reservation_first_policy{};
  std::uint32_t max_requests = 4000;
  std::uint32_t max_attempts = 3;
  std::uint32_t retry_percent = 10;
  microseconds reply_timeout = milliseconds(500);  ///< Limit for a quote.
  microseconds lease = seconds(4);                 ///< Silence after which an agent counts as lost.
  microseconds transfer_timeout = seconds(2);
};

/// \brief A caller's request, validated against the settings.
struct caller_request {
  request_id id;
  std::string team;
  std::string workspace;
  std::string model;           ///< Empty for calls.
  std::string prefill_pool;    ///< Empty for calls.
  std::string pool;            ///< Decode pool, or the service's pool.
  std::string engine_request;  ///< JSON body for the engine.
  std::optional<call_request> call;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::vector<std::uint64_t> prefix_hashes;
  std::uint8_t priority = 1;
  bool patient = false;  ///< Queue past the deadline instead of being rejected.
  bool repeatable = true;
  std::string idempotency_key;
  microseconds deadline_in = milliseconds(430);  ///< Until the first token or the call's answer.
};
/// \brief The caller has disconnected; its request is cancelled and its resources are released.
struct caller_disconnected {
  request_id id;
};
struct agent_up {
  std::string backend;
  incarnation_id incarnation = 0;
};
struct agent_down {
  std::string backend;
};
struct agent_message {
  std::string backend;
  incarnation_id incarnation = 0;  ///< Of the connection that delivered it.
  message body;
};
struct entry_policy_changed {
  entry_policy policy;
};
struct entry_time_passed {};

using entry_event = std::variant<caller_request, caller_disconnected, agent_up, agent_down,
                                 agent_message, entry_policy_changed, entry_time_passed>;

struct send_to_agent {
  std::string backend;
  message body;
};
/// \brief The next text for the caller; delivered in order and exactly once.
struct deliver_piece {
  request_id id;
  std::string text;
};
struct deliver_end {
  request_id id;
  std::string finish_reason;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
};
struct deliver_call {
  request_id id;
  std::uint16_t status = 0;
  std::vector<header_field> headers;
  std::vector<std::uint8_t> body;
};
/// \brief Final outcome: the request did not run and will not run.
struct deliver_not_run {
  request_id id;
  refusal_reason reason = refusal_reason::kNone;
  microseconds retry_after{};
};
/// \brief Final outcome: the request may have run.
struct deliver_unknown {
  request_id id;
  std::string detail;
};
/// \brief Final outcome: a repeatable request failed, and its attempts or the team's retry budget
/// are exhausted.
struct deliver_failed {
  request_id id;
  std::string detail;
  microseconds retry_after{};
};
struct log_entry_decision {
  decision made;
};

using entry_effect =
    std::variant<send_to_agent, deliver_piece, deliver_end, deliver_call, deliver_not_run,
                 deliver_unknown, deliver_failed, log_entry_decision>;
using entry_effects = std::vector<entry_effect>;

/// \brief State machine of an entry: all requests from acceptance to the final outcome.
///
/// Performs no I/O and reads no clock: the caller passes in the time and the
/// events, and executes the returned effects in order. Each accepted
/// request gets exactly one final effect (`deliver_end`, `deliver_call`,
/// `deliver_not_run`, `deliver_unknown` or `deliver_failed`), unless its
/// caller disconnects first. The protocol is described in docs/design/protocol.md.
class entry_core {
 public:
  struct options {
    incarnation_id incarnation = 0;
    std::uint64_t random_seed = 0;  ///< Seed for retry jitter.
    entry_policy policy;
  };

  explicit entry_core(options settings);
  ~entry_core();
  entry_core(entry_core&&) noexcept;
  entry_core& operator=(entry_core&&) noexcept;

  /// \brief Processes one event, after all timers that are due by `now`.
  /// \returns The effects to execute, in order.
  [[nodiscard]] entry_effects Handle(instant now, entry_event event);

  [[nodiscard]] std::optional<instant> next_wakeup() const;

  /// \returns Number of requests without a final outcome.
  [[nodiscard]] std::size_t in_progress() const;

  /// \returns true while a request or a pending cancel needs the connection to that agent.
  [[nodiscard]] bool uses(const std::string& backend) const;

  /// \returns true when there are no requests and no pending cancels.
  [[nodiscard]] bool idle() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_ENTRY_CORE_H_
