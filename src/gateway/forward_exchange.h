#ifndef JACINTHSPOOL_GATEWAY_FORWARD_EXCHANGE_H_
#define JACINTHSPOOL_GATEWAY_FORWARD_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jacinthspool/routing/event_splitter.h"
#include "jacinthspool/routing/next_step.h"
#include "jacinthspool/routing/request_deadline.h"
#include "src/gateway/gateway_context.h"
#include "src/gateway/queued_place.h"
#include "src/gateway/reservation_dispatcher.h"
#include "src/gateway/slot_dispatcher.h"
#include "src/gateway/stream_directory.h"
#include "src/transport/http1_server.h"

namespace jacinthspool {

/// \brief One request of a caller, from its arrival to the end of its answer.
///
/// Sends attempts to one backend server after the other as `DecideNextStep` allows,
/// and sends the caller exactly one answer.
class forward_exchange : public std::enable_shared_from_this<forward_exchange> {
 public:
  struct options {
    gateway_context& context;
    reservation_dispatcher& reservations;
    slot_dispatcher& slots;
    stream_directory& streams;
    forward_request request;
    std::shared_ptr<const forward_route> route;
    std::string service;
    /// Version that the request must be sent to; nothing: any.
    std::optional<std::string> software = {};
    /// Nothing: the request needs no key.
    std::optional<caller_identity> caller = {};
    http1_responder answer;
    instant received{};
    /// Called once, when the exchange has ended.
    /// \param not_run No server has run the request.
    std::function<void(forward_exchange&, bool not_run)> on_ended;
  };

  explicit forward_exchange(options settings);
  ~forward_exchange();

  void Start();

  /// \brief This process has been told to stop: its end is a deadline of the request.
  void OnStopping();

  /// \brief Reads a paused answer on, once there is room for it.
  void ReadOn();

  /// \brief Other suspects are held back from now on: ends the request if it has one of them and no
  /// answer.
  void OnVerdictsChanged();

 private:
  class attempt;
  enum class attempt_kind { kPrefill, kServe };

  /// \brief Gets a reservation first if the service's engines offer them, then sends.
  void ReserveAndSend();
  /// \brief Ends the request if it may end the server that it would be sent to.
  /// \returns true when the request has ended.
  bool EndIfHeld();
  [[nodiscard]] bool NeedsReservation() const;
  [[nodiscard]] reservation_request MakeReservationRequest(instant now) const;
  /// \brief Enqueues the request for a reservation.
  void Reserve();
  void OnReserved(decode_reservation reservation);
  /// \brief A reservation or a request slot is held: sends, or replaces the silent attempt.
  void OnPlaceHeld();
  /// \brief No server has room: rejects the request, or lets the silent attempt go on.
  void OnNoPlace(std::string_view why);
  [[nodiscard]] bool IsUsable(const decode_reservation& held, instant now) const;
  /// \returns true when an attempt could be sent now, apart from the retry budget.
  [[nodiscard]] bool HoldsPlace(instant now) const;
  /// \brief Sends the request to the engine of its reservation.
  void SendToReservedEngine();
  /// \returns The reservation, which the caller of this function must use or release.
  std::optional<decode_reservation> TakeReservation();
  void ReleaseReservation();
  void SendNext();
  /// \brief Sends when the limits of the service's servers allow it.
  void WaitForSlot();
  [[nodiscard]] placement MakePlacement(engine_stage stage, bool prefill) const;
  /// \returns false when the send is a retry that the budget does not allow.
  [[nodiscard]] bool PayForSend(instant now);
  [[nodiscard]] bool NeedsPrefill() const;
  /// \brief Records the duration of a prefill.
  void RecordPrefill(prefill_place place, microseconds taken);
  /// \returns The stage of the backend servers that answer the request.
  [[nodiscard]] engine_stage ServingStage() const;
  [[nodiscard]] bool MayRetry() const;
  /// \brief Ends the request if its key admits it no longer, unless its answer has begun.
  /// \returns true when the request has ended.
  bool EndIfCallerRefused();
  void StartAttempt(attempt_kind kind, const backend_record& backend);
  void OnPrefilled(const backend_record& backend, const std::string& handle);
  void OnPrefillFailed(attempt_failure failure);
  void OnServeFailed(attempt_failure failure);
  /// \brief Reports the answer time of a plain service to the load shedder.
  void ReportAnswer(microseconds taken);
  /// \brief Ends the attempt and the search for a replacement.
  void EndAttempt();
  /// \returns How long the attempt's server may be silent before a replacement is sought.
  [[nodiscard]] microseconds SilenceLimit(const attempt& checked) const;
  void CheckSilenceAfter(microseconds wait);
  void CheckSilence();
  /// \brief Looks for room at another server while the silent attempt goes on.
  ///
  /// The silent server may be about to continue, so the attempt is ended only once everything
  /// that its replacement needs is held.
  void SeekReplacement();
  void StopSeeking();
  void ReplaceSilentAttempt();
  void Deliver(const http1_head& head, std::string_view body);
  void ForwardEvents(const http1_head& head, const std::vector<stream_event>& events);
  /// \brief Binds the stream to the version of the present server, unless it is bound already.
  void BindStream();
  /// \brief Sends part of the answer; its server is throttled while there is no room for more.
  void SendToCaller(std::string_view bytes);
  /// \returns true when the head of an answer was sent to the caller.
  [[nodiscard]] bool AnswerBegun() const { return std::holds_alternative<http1_stream>(answer_); }
  /// \brief Sends a complete answer; a begun one is truncated instead.
  void Reply(int status, const http_headers& headers, std::string_view body);
  void EndForwardedBody();
  void EndStream(const http1_head& head);
  /// \brief Sends the head unless an earlier attempt has begun the stream.
  void BeginAnswer(const http1_head& head);
  /// \returns false when a stream has begun, which a body cannot continue.
  [[nodiscard]] bool BeginBody(const http1_head& head);
  void EndAnswer();
  /// \returns true when a server may have run the request, or may still.
  [[nodiscard]] bool MayHaveRun() const;
  /// \returns When the caller of this request, which no server has room for, may return.
  [[nodiscard]] std::optional<instant> ReserveReturn(instant now) const;
  /// \brief Answers "not run"; a request that may have run fails instead.
  /// \param retry_after Nothing: chosen by the load and the time that the caller has left.
  void Reject(std::string_view why, std::optional<milliseconds> retry_after = std::nullopt);
  void Fail(int status, std::string_view why);
  void Cut(std::string_view why);
  /// \returns The limits of the request's time under that route.
  [[nodiscard]] request_time_limits TimeLimits(const forward_route& route) const;
  /// \returns How long an answer can still be forwarded to the caller, regardless of the route's
  /// timeout.
  [[nodiscard]] milliseconds CallerTimeLeft(instant now) const;
  /// \returns The expected time from the next send to the end of the answer.
  [[nodiscard]] microseconds ExpectedDuration() const;
  /// \returns true when another gateway can be expected to serve the request if this one does not.
  [[nodiscard]] bool MayBeServedElsewhere() const;
  /// \returns false when this process stops before a request sent now is expected to end, and
  /// another gateway can serve it.
  [[nodiscard]] bool EndsBeforeStop(instant now) const;
  /// \brief Ends a request that waits for a backend server once it could not end before the
  /// process does.
  void CheckStop();
  /// \brief Ends the request without an attempt: as not run, or as failed with that status.
  void EndUnanswered(int status, std::string_view why,
                     std::optional<milliseconds> retry_after = std::nullopt);
  void ArmDeadline();
  void OnDeadline();
  void OnCallerDisconnected();
  void Finish(std::string_view outcome, std::string_view why);
  void ReleaseHandle();
  [[nodiscard]] milliseconds TimeLeft(instant now) const;
  [[nodiscard]] double Cost() const;
  /// \returns The configured properties of the service's engines, or null.
  [[nodiscard]] const engine_profile* Engine() const;
  [[nodiscard]] std::uint64_t TokensPerEvent() const;

  options settings_;
  gateway_context& context_;
  std::uint64_t first_configuration_;  ///< Version in force when the request arrived.
  request_deadline deadline_{};
  std::unique_ptr<attempt> attempt_;
  timer_subscription deadline_timer_;
  timer_subscription silence_timer_;
  timer_subscription stop_timer_;
  std::set<std::string> tried_;
  std::set<std::string> addresses_;      ///< To which the request has been sent.
  std::string last_backend_;             ///< Of the attempt before the present one.
  std::string last_software_;            ///< Likewise.
  send_trace last_send_;                 ///< Likewise.
  std::vector<crash_suspect> suspects_;  ///< What a server could end of: its parts, and itself.
  /// Sent once to show whether the verdict on it still holds.
  std::optional<crash_suspect> trial_;
  std::uint32_t sends_ = 0;     ///< Attempts to serve, rejected ones included.
  std::uint32_t prefills_ = 0;  ///< Attempts that only prefill.
  std::uint32_t runs_ = 0;
  bool prefilled_ = false;  ///< An engine has prefilled the prompt.
  bool prefill_abandoned_ = false;
  std::string kv_source_;     ///< Location of the prompt's KV cache; empty: none.
  backend_record kv_holder_;  ///< The engine that holds it.
  std::string kv_handle_;
  instant kv_until_{};
  /// In the admission or the slot queue: for the next send, or to replace the silent attempt.
  queued_place place_;
  bool slot_granted_ = false;   ///< The slot queue has chosen this request for the next send.
  bool seeking_ = false;        ///< A replacement for the silent attempt is sought.
  bool send_paid_ = false;      ///< The next send has been charged to the retry budget.
  bool limit_reached_ = false;  ///< Rejected because of the servers' request limits.
  std::optional<decode_reservation> reservation_;
  bool is_retry_ = false;  ///< Probably a retry of a rejected request.
  service_claim claim_ = {};
  byte_budget::holding request_bytes_;  ///< Of the request's body.
  /// Not begun, begun, or ended; each state has only what may follow in it.
  std::variant<http1_responder, http1_stream, std::monostate> answer_;
  bool may_resume_ = true;  ///< False after part of a plain answer: only events can be resumed.
  microseconds reservation_wait_{};     ///< From the request's arrival to its last reservation.
  microseconds time_to_first_event_{};  ///< From the request's arrival to the start of the answer.
  std::optional<std::uint64_t> last_event_;
  stream_pace pace_;
  std::optional<http1_head> failed_head_;  ///< The newest error of a backend server.
  std::string failed_body_;
  std::string_view rejection_reason_;  ///< A literal; empty: the failure of the last attempt.
  bool ended_ = false;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_FORWARD_EXCHANGE_H_
