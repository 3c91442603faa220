#include "src/gateway/forward_exchange.h"

#include <algorithm>
#include <limits>
#include <span>
#include <utility>
#include <vector>

#include "jacinthspool/impl/overloaded.h"
#include "jacinthspool/routing/retry_after.h"
#include "src/gateway/backend_notices.h"
#include "src/gateway/background_call.h"
#include "src/gateway/caller_check.h"
#include "src/gateway/held_request.h"
#include "src/gateway/pace_notes.h"
#include "src/gateway/reply_head.h"
#include "src/gateway/request_fields.h"
#include "src/gateway/send_trace_fields.h"
#include "src/gateway/server_end.h"
#include "src/telemetry/log.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

/// No attempt is started with less time left.
constexpr milliseconds kMinAttemptTime = milliseconds(20);
/// A repeatable request is retried elsewhere after this multiple of its latency objective without
/// an answer.
constexpr double kSilenceFactor = 1.3;
/// A stream counts as stalled after this time without an event, or after its latency objective if
/// that is longer.
constexpr milliseconds kMinStallTime = milliseconds(1200);
/// While a server is silent, a replacement is sought again after this time.
constexpr milliseconds kSeekInterval = milliseconds(250);
/// Multiple of the latency objective that a prefill may take.
constexpr double kPrefillSilenceFactor = 1.2;
/// Fraction of a KV handle's life in which it is used; it may expire on the way after that.
constexpr double kUsableHandleLifeShare = 0.8;
/// Life of an unfetched KV handle, where it is not configured.
constexpr microseconds kDefaultHandleLife = milliseconds(300);
constexpr std::uint32_t kMaxPrefills = 2;
/// Fraction of its remaining time for which a request waits for a server's request limit.
constexpr int kSlotWaitDivisor = 2;
/// Retry-After of a rejection is the caller's remaining time divided by this.
constexpr int kRetryAfterDivisor = 4;
constexpr milliseconds kMinRetryAfter = milliseconds(50);
constexpr milliseconds kMaxRetryAfter = seconds(4);
constexpr milliseconds kConnectTimeout = milliseconds(400);

/// Time per output token in an engine under high load.
constexpr microseconds kOutputTokenTime = microseconds(4500);
/// From a reservation to the first event: prefill, KV transfer and first tokens.
constexpr milliseconds kFirstEventTime = milliseconds(250);

/// The reply to a prefill is a short JSON object.
constexpr std::size_t kMaxPrefillReplyBytes = 16U << 10U;
/// Logged when a server answers the resumption of a stream with a reply of its own.
constexpr std::string_view kNotTheRest = "not the rest of the stream";
/// Logged when the planned stop of this process ends a request.
constexpr std::string_view kStopping = "stopping";
/// Logged for a request that servers may have ended of.
constexpr std::string_view kHeld = "backend servers ended under it";

}  // namespace

/// One attempt at one backend server.
class forward_exchange::attempt : public http1_call_listener {
 public:
  attempt(forward_exchange& owner, attempt_kind kind, backend_record backend)
      : owner_(owner),
        kind_(kind),
        number_(kind == attempt_kind::kPrefill ? owner.prefills_ : owner.sends_),
        backend_(std::move(backend)),
        started_(timer_service::now()),
        last_heard_(started_) {
    owner_.context_.selector.OnStarted(backend_.id, owner_.Cost());
  }

  ~attempt() override {
    // An attempt that is ended early is no evidence about the backend server.
    Report(attempt_result::kUnknown);
  }
  attempt(const attempt&) = delete;
  attempt& operator=(const attempt&) = delete;

  /// \param reserved The request uses a reservation, which was counted against the server's limit.
  void Send(const std::string& bytes, bool reserved) {
    RecordSend(owner_.context_, backend_, reserved ? 0 : 1);
    sent_.Set(bytes.size());
    call_ = owner_.context_.client.Start(
        {.address = backend_.address,
         .bytes = bytes,
         .request = owner_.settings_.request.id,
         .expects_body = owner_.settings_.request.method != "HEAD",
         .new_connection = NeedsNewConnection(),
         .connect_timeout = kConnectTimeout,
         .max_body_bytes = kind_ == attempt_kind::kPrefill
                               ? kMaxPrefillReplyBytes
                               : std::numeric_limits<std::size_t>::max()},
        *this);
  }
  void PauseReply(bool paused) {
    paused_ = paused;
    call_->PauseReply(paused);
  }

  [[nodiscard]] attempt_kind kind() const { return kind_; }
  [[nodiscard]] const backend_record& backend() const { return backend_; }
  [[nodiscard]] instant last_heard() const { return last_heard_; }
  [[nodiscard]] bool streaming() const { return streaming_; }
  [[nodiscard]] bool paused() const { return paused_; }
  /// \returns true when part of an answer has arrived.
  [[nodiscard]] bool answering() const { return event_count_ > 0 || forwarding_body_; }
  /// \returns true until the end of the call: its request may have been sent and may run.
  [[nodiscard]] bool under_way() const { return !ended_trace_; }

  /// Reports the result to the selector; only the first call counts.
  void Report(attempt_result result) {
    if (std::exchange(reported_, true)) {
      return;
    }
    const instant heard = head_ ? first_heard_ : timer_service::now();
    owner_.context_.selector.OnEnded(backend_.id, owner_.Cost(), result, heard - started_,
                                     timer_service::now());
    if (backend_.stage == engine_stage::kDecode) {
      owner_.settings_.reservations.OnMemoryFreed(backend_.id);
    }
  }

  head_action OnHead(const http1_head& head) override {
    facts_ = owner_.context_.dialect.DecodeReply(head, owner_.settings_.request);
    const bool ours = AnswersRequest(facts_.origin, call_->first_on_connection());
    ApplyNotice(owner_.context_, backend_, head, owner_.settings_.request.id,
                ours ? started_ : instant{});
    if (!ours) {
      Log(log_level::kWarning, "stray_reply",
          {{"request", owner_.settings_.request.id},
           {"backend", backend_.id},
           {"status", head.status},
           {"has_id", facts_.origin != reply_origin::kUnstated}});
      return head_action::kSkip;
    }
    RecordHeard();
    sent_.Set(0);
    first_heard_ = last_heard_;
    head_ = head;
    streaming_ = kind_ == attempt_kind::kServe &&
                 owner_.settings_.route->kind == request_kind::kStreaming &&
                 head.status == http_status::kOk && facts_.sound;
    if (streaming_) {
      prefilling_in_place_ = owner_.kv_source_.empty() && owner_.settings_.request.model &&
                             !owner_.settings_.request.resume_after && !owner_.AnswerBegun();
      // The engine has fetched the prompt's KV cache, so there is no handle to release.
      owner_.kv_source_.clear();
    }
    return head_action::kAccept;
  }

  void OnBody(std::string_view bytes) override {
    if (streaming_) {
      OnStreamBytes(bytes);
      return;
    }
    RecordHeard();
    if (forwarding_body_) {
      owner_.SendToCaller(bytes);
      return;
    }
    body_ += bytes;
    held_.Set(body_.size());
    if (body_.size() <= owner_.context_.bytes.MaxIncompleteBody()) {
      return;
    }
    if (kind_ == attempt_kind::kPrefill || !facts_.sound || facts_.not_run ||
        !IsDelivered(head_->status)) {
      LogFailure("error body too long", "");
      End(attempt_result::kFailed, attempt_failure::kUnsound);
      return;
    }
    const auto owner = owner_.shared_from_this();
    const bool begins = owner->BeginBody(*head_);
    if (owner->attempt_.get() != this) {
      return;  // The caller's reset was found by the write, and has ended the attempt.
    }
    if (!begins) {
      LogFailure(kNotTheRest, "");
      End(attempt_result::kFailed, attempt_failure::kUnsound);
      return;
    }
    forwarding_body_ = true;
    const std::string begun = std::exchange(body_, {});
    held_.Set(0);
    owner_.SendToCaller(begun);
  }

  void OnEnd(call_outcome end, const std::string& reason) override {
    const auto owner = owner_.shared_from_this();
    ended_trace_ = call_->trace();
    owner->StopSeeking();
    if (end == call_outcome::kWhole) {
      OnWhole();
      return;
    }
    const bool unsent = end == call_outcome::kUnsent || end == call_outcome::kRefused;
    LogFailure(ToString(end), reason,
               end == call_outcome::kRefused ? "connection refused"
               : unsent                      ? "no byte sent"
                                             : "");
    ReportServerEnd(end);
    const attempt_failure failure = unsent                            ? attempt_failure::kUnsent
                                    : end == call_outcome::kMalformed ? attempt_failure::kUnsound
                                    : end == call_outcome::kCut       ? attempt_failure::kBrokeOff
                                                                      : attempt_failure::kLost;
    End(unsent ? attempt_result::kUnreachable : attempt_result::kFailed, failure);
  }

  /// Logs and counts a silence once; the next bytes of the answer end it.
  void ReportSilence(std::string_view reason) {
    if (!std::exchange(silence_reported_, true)) {
      owner_.context_.selector.OnSilent(backend_.id, timer_service::now());
      LogFailure("silent", reason);
    }
  }

  /// \param proof Why the request has not run at this server; empty: it may have run.
  void LogFailure(std::string_view how, std::string_view reason,
                  std::string_view proof = {}) const {
    nlohmann::json fields{{"request", owner_.settings_.request.id},
                          {"backend", backend_.id},
                          {"software", backend_.software},
                          {"prefill", kind_ == attempt_kind::kPrefill},
                          {"send", number_},
                          {"how", how},
                          {"reason", reason},
                          {"proof", proof},
                          {"status", head_ ? head_->status : 0},
                          {"took_ms", (timer_service::now() - started_) / milliseconds(1)},
                          {"events", event_count_},
                          {"silent_ms", (timer_service::now() - last_heard_) / milliseconds(1)},
                          {"configuration", owner_.context_.routes.configuration()->version},
                          {"list_revision", owner_.context_.backends.revision()}};
    AddTrace(fields, trace());
    Log(log_level::kWarning, "attempt_failed", std::move(fields));
  }

  /// \returns What was sent; nothing before the call has started.
  [[nodiscard]] send_trace trace() const {
    return ended_trace_ ? *ended_trace_ : call_ ? call_->trace() : send_trace();
  }

 private:
  /// \returns true when an earlier reply on a kept connection could not be told from this one's.
  [[nodiscard]] bool NeedsNewConnection() {
    // Connections are kept by address, which the records of several servers may have.
    const bool same_id = !owner_.addresses_.insert(backend_.address).second;
    return same_id || owner_.settings_.request.id.empty();
  }

  void RecordHeard() {
    const instant now = timer_service::now();
    if (std::exchange(silence_reported_, false)) {
      Log(log_level::kInfo, "silence_ended",
          {{"request", owner_.settings_.request.id},
           {"backend", backend_.id},
           {"silent_ms", (now - last_heard_) / milliseconds(1)},
           {"configuration", owner_.context_.routes.configuration()->version}});
      owner_.context_.metrics.Count("gateway_silences", {{"outcome", "ended"}});
    }
    last_heard_ = now;
    owner_.StopSeeking();
  }

  [[nodiscard]] backend_incarnation Incarnation() const {
    return {backend_.id, backend_.started_ms};
  }

  /// Reports that the server may have ended, unless it leaves as planned.
  void ReportServerEnd(call_outcome end) {
    gateway_context& context = owner_.context_;
    const auto& listed = context.backends.backends();
    const auto known = listed.find(backend_.id);
    // The record of a server that crashes is listed for some time; one that is gone has left.
    const bool leaving = known == listed.end() || known->second.leaving ||
                         known->second.started_ms != backend_.started_ms;
    const std::optional<end_sign> sign = SignOfServerEnd(end, head_);
    if (leaving || !sign) {
      return;
    }
    const bool suspicious = sign != end_sign::kRefused && !answering();
    if (suspicious) {
      Log(log_level::kWarning, "server_ended",
          {{"request", owner_.settings_.request.id},
           {"backend", backend_.id},
           {"started_ms", backend_.started_ms},
           {"sign", ToString(*sign)},
           {"digest", ToString(owner_.settings_.request.digest)},
           {"parts", owner_.suspects_.size() - 1}});
      context.metrics.Count("gateway_server_ends", {{"sign", std::string(ToString(*sign))}});
    }
    context.quarantine.OnServerEnd(Incarnation(), *sign,
                                   suspicious ? std::span<const crash_suspect>(owner_.suspects_)
                                              : std::span<const crash_suspect>(),
                                   timer_service::now());
  }

  /// Reports once that the answer went on, so that its server has not ended of the request.
  void Vouch() {
    if (kind_ == attempt_kind::kServe && !std::exchange(vouched_, true)) {
      owner_.context_.quarantine.OnAnswer(owner_.suspects_, timer_service::now());
    }
  }

  void OnStreamBytes(std::string_view bytes) {
    const std::vector<stream_event> events = events_.Split(bytes);
    // Neither an incomplete event nor a comment proves that the engine makes progress.
    const auto progress = static_cast<std::uint64_t>(
        std::count_if(events.begin(), events.end(),
                      [](const stream_event& each) { return !each.bytes.starts_with(':'); }));
    if (progress > 0) {
      event_count_ += progress;
      RecordHeard();
      owner_.context_.quarantine.OnHeard(Incarnation(), last_heard_);
    }
    if (event_count_ > 1) {
      Vouch();
    }
    held_.Set(events_.pending_bytes());
    if (events_.pending_bytes() > owner_.context_.bytes.MaxIncompleteEvent()) {
      LogFailure("event too long", "");
      End(attempt_result::kFailed, attempt_failure::kBrokeOff);
      return;
    }
    if (!events.empty() && std::exchange(prefilling_in_place_, false)) {
      owner_.RecordPrefill(prefill_place::kDecodeEngine, timer_service::now() - started_);
    }
    owner_.ForwardEvents(*head_, events);
  }

  void OnWhole() {
    const int status = head_->status;
    if (facts_.not_run) {
      LogFailure("not_run", "",
                 facts_.origin == reply_origin::kThisRequest
                     ? "stated by the server"
                     : "stated by the server, first reply of the connection");
      const bool full =
          status == http_status::kServiceUnavailable || status == http_status::kTooManyRequests;
      if (full && !owner_.settings_.request.model) {
        owner_.context_.shedder.OnFull(owner_.settings_.service, timer_service::now());
      }
      End(full ? attempt_result::kBusy : attempt_result::kUnknown, attempt_failure::kNotRun);
      return;
    }
    if (kind_ == attempt_kind::kPrefill) {
      OnPrefillReply();
      return;
    }
    if (streaming_ && event_count_ == 0) {
      ReportServerEnd(call_outcome::kWhole);
    } else {
      Vouch();
    }
    if (streaming_ ? events_.inside_event() : !facts_.sound) {
      LogFailure(streaming_ ? "truncated within an event" : "not a genuine answer", "");
      End(attempt_result::kFailed,
          streaming_ ? attempt_failure::kBrokeOff : attempt_failure::kUnsound);
      return;
    }
    if (streaming_) {
      Report(attempt_result::kGood);
      owner_.EndStream(*head_);
    } else if (IsDelivered(status)) {
      Report(attempt_result::kGood);
      owner_.ReportAnswer(first_heard_ - started_);
      if (forwarding_body_) {
        owner_.EndForwardedBody();
      } else {
        owner_.Deliver(*head_, body_);
      }
    } else {
      LogFailure("error", "");
      owner_.ReportAnswer(first_heard_ - started_);
      owner_.failed_head_ = std::move(head_);
      owner_.failed_body_ = std::move(body_);
      End(attempt_result::kFailed, attempt_failure::kFailedReply);
    }
  }

  void OnPrefillReply() {
    const auto handle = head_->status == http_status::kOk
                            ? owner_.context_.dialect.DecodePrefill(body_)
                            : std::optional<std::string>();
    if (!handle) {
      LogFailure("prefill reply without a KV handle", "");
      End(attempt_result::kFailed, attempt_failure::kFailedReply);
      return;
    }
    Report(attempt_result::kGood);
    owner_.RecordPrefill(prefill_place::kPrefillEngine, first_heard_ - started_);
    owner_.OnPrefilled(backend_, *handle);
  }

  void End(attempt_result result, attempt_failure failure) {
    Report(result);
    if (kind_ == attempt_kind::kPrefill) {
      owner_.OnPrefillFailed(failure);
    } else {
      owner_.OnServeFailed(failure);
    }
  }

  forward_exchange& owner_;
  attempt_kind kind_;
  std::uint32_t number_;  ///< Among the request's attempts of this kind, from 1.
  backend_record backend_;
  instant started_;
  instant first_heard_{};
  instant last_heard_;
  std::optional<http1_head> head_;
  reply_facts facts_;
  std::string body_;
  event_splitter events_;
  unfinished_bytes::sending unfinished_{owner_.context_.unfinished, backend_,
                                        owner_.settings_.request.body.size()};
  /// What the server may not have read of the request.
  byte_budget::holding sent_{owner_.context_.bytes, held_kind::kRequest};
  /// Of `body_` or of an incomplete event.
  byte_budget::holding held_{owner_.context_.bytes, held_kind::kIncomplete};
  bool streaming_ = false;
  bool prefilling_in_place_ = false;  ///< The engine prefills the prompt; no event yet.
  bool forwarding_body_ = false;      ///< The body is forwarded as it arrives.
  bool paused_ = false;
  bool reported_ = false;
  bool vouched_ = false;
  bool silence_reported_ = false;
  std::uint64_t event_count_ = 0;  ///< Events received in this attempt, comments excluded.
  std::unique_ptr<http1_call> call_;
  std::optional<send_trace> ended_trace_;  ///< Kept: another call may follow on the connection.
};

forward_exchange::forward_exchange(options settings)
    : settings_(std::move(settings)),
      context_(settings_.context),
      first_configuration_(context_.routes.configuration()->version),
      request_bytes_(context_.bytes, held_kind::kRequest),
      answer_(std::move(settings_.answer)) {
  request_bytes_.Set(settings_.request.body.size());
  last_event_ = settings_.request.resume_after;
  suspects_.assign(settings_.request.shared_parts.begin(), settings_.request.shared_parts.end());
  suspects_.emplace_back(settings_.request.digest);
}

forward_exchange::~forward_exchange() = default;

void forward_exchange::Start() {
  deadline_ = EarliestDeadline(TimeLimits(*settings_.route));
  context_.budget.CountRequest(settings_.received, settings_.service);
  context_.traffic.OnRequest(settings_.service, settings_.received);
  std::get<http1_responder>(answer_).OnCallerDisconnected([this] { OnCallerDisconnected(); });
  ArmDeadline();
  is_retry_ = settings_.request.model && settings_.request.time_left &&
              context_.retries.IsRetry(settings_.route->name, *settings_.request.time_left,
                                       settings_.received);
  if (context_.stop) {
    const auto self = shared_from_this();
    CheckStop();
    if (ended_) {
      return;
    }
  }
  claim_ = ClaimOf(settings_.caller, *settings_.route, is_retry_);
  if (settings_.request.model ||
      context_.shedder.Admit(settings_.service, context_.random(), settings_.received, claim_)) {
    ReserveAndSend();
  } else {
    Reject("service overloaded");
  }
}

void forward_exchange::OnStopping() {
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  deadline_ = EarliestDeadline(TimeLimits(*settings_.route));
  ArmDeadline();
  CheckStop();
}

void forward_exchange::CheckStop() {
  if (!MayBeServedElsewhere()) {
    return;
  }
  const instant now = timer_service::now();
  if (!EndsBeforeStop(now)) {
    if (!attempt_ || attempt_->kind() == attempt_kind::kPrefill) {
      EndUnanswered(http_status::kBadGateway, kStopping);
    }
    return;
  }
  stop_timer_ = context_.timers.After(
      context_.stop->answered_by() - ExpectedDuration() - now + milliseconds(1),
      [this](instant /*now*/) {
        const auto self = shared_from_this();
        CheckStop();
      });
}

microseconds forward_exchange::ExpectedDuration() const {
  const auto& work = settings_.request.model;
  if (!work) {
    return settings_.route->latency_objective;
  }
  const std::uint64_t tokens = context_.outputs.ExpectedTokens(
      settings_.service, work->expected_output_tokens, work->max_output_tokens);
  const std::uint64_t sent = last_event_.value_or(0) * TokensPerEvent();
  return kFirstEventTime +
         std::chrono::duration_cast<microseconds>(
             kOutputTokenTime * static_cast<std::int64_t>(tokens - std::min(tokens, sent)));
}

bool forward_exchange::MayBeServedElsewhere() const {
  // A caller that has been rejected already may meet other gateways that stop.
  return context_.gateways > 1 && !is_retry_;
}

bool forward_exchange::EndsBeforeStop(instant now) const {
  return !MayBeServedElsewhere() ||
         jacinthspool::EndsBeforeStop(TimeLimits(*settings_.route), ExpectedDuration(), now);
}

const engine_profile* forward_exchange::Engine() const {
  return context_.routes.configuration()->FindEngine(settings_.service);
}

std::uint64_t forward_exchange::TokensPerEvent() const {
  const engine_profile* engine = Engine();
  return engine != nullptr ? engine->tokens_per_event : 1;
}

bool forward_exchange::NeedsReservation() const {
  const engine_profile* engine = Engine();
  return settings_.request.model && engine != nullptr && engine->longest_hold > microseconds(0) &&
         context_.selector.Has(settings_.service, engine_stage::kDecode);
}

reservation_request forward_exchange::MakeReservationRequest(instant now) const {
  const model_work& work = *settings_.request.model;
  const std::uint64_t output = context_.outputs.TokensToReserve(
      settings_.service, work.expected_output_tokens, work.max_output_tokens);
  const auto decoding = std::chrono::duration_cast<microseconds>(kOutputTokenTime *
                                                                 static_cast<std::int64_t>(output));
  instant latest_start = deadline_.at - decoding - kFirstEventTime;
  const milliseconds silence = settings_.route->silence_limit;
  const milliseconds objective = settings_.route->latency_objective;
  if (silence > milliseconds(0) && !AnswerBegun()) {
    latest_start = std::min(latest_start, settings_.received + silence - kFirstEventTime);
  }
  return {.service = settings_.service,
          .tokens = static_cast<double>(work.prompt_tokens + output),
          .excluded_backend = seeking_ ? attempt_->backend().id : std::string(),
          .software = settings_.software,
          .resumes = AnswerBegun() || settings_.request.resume_after.has_value(),
          .on_time_until = is_retry_ ? instant{} : settings_.received + objective - kFirstEventTime,
          .latest_start = std::max(now + kMinAttemptTime, latest_start),
          .claim = claim_};
}

void forward_exchange::OnVerdictsChanged() {
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  const instant now = timer_service::now();
  const bool serving = attempt_ && attempt_->kind() == attempt_kind::kServe;
  if (!serving) {
    EndIfHeld();
  } else if (settings_.route->repeatable() && !attempt_->answering() && !trial_ &&
             context_.quarantine.MustCancel(suspects_, now)) {
    attempt_->LogFailure("cancelled", kHeld);
    EndUnanswered(http_status::kBadGateway, kHeld);
  }
}

bool forward_exchange::EndIfHeld() {
  const instant now = timer_service::now();
  const auto end = [&](microseconds retry_after) {
    EndUnanswered(http_status::kBadGateway, kHeld, std::chrono::ceil<milliseconds>(retry_after));
    return true;
  };
  return std::visit(
      overloaded{[&](const request_admitted&) {
                   trial_.reset();
                   return false;
                 },
                 [&](const request_trial& allowed) {
                   if (sends_ > 0 || prefills_ > 0) {
                     return end(kMinRetryAfter);
                   }
                   trial_ = allowed.evidence.suspect;
                   prefill_abandoned_ = true;
                   return false;
                 },
                 [&](const request_held& held) {
                   ReportHeld(context_, settings_.request.id, held);
                   return end(held.retry_after);
                 },
                 [&](const request_unknown& unknown) { return end(unknown.retry_after); }},
      context_.quarantine.Check(suspects_, now));
}

void forward_exchange::ReserveAndSend() {
  const auto self = shared_from_this();
  if (EndIfHeld()) {
    return;
  }
  if (!NeedsReservation()) {
    SendNext();
    return;
  }
  EndAttempt();
  if (TimeLeft(timer_service::now()) < kMinAttemptTime) {
    OnServeFailed(attempt_failure::kUnsent);
    return;
  }
  Reserve();
}

void forward_exchange::Reserve() {
  const instant now = timer_service::now();
  const reservation_request wanted = MakeReservationRequest(now);
  if (sends_ == 0 && !wanted.resumes && !seeking_) {
    const model_work& work = *settings_.request.model;
    context_.balance.OnRequest(settings_.service, work.prompt_tokens, wanted.tokens,
                               work.expected_output_tokens);
  }
  if (!settings_.reservations.HasVersion(wanted)) {
    OnNoPlace(kNoServerOfVersion);
    return;
  }
  if (settings_.reservations.IsHopeless(wanted, now)) {
    OnNoPlace(kLimitReached);
    return;
  }
  const auto back_off_end =
      context_.selector.BackOffEnd(settings_.service, engine_stage::kDecode, now);
  if (back_off_end && *back_off_end > wanted.latest_start) {
    OnNoPlace("all engines want quiet");
    return;
  }
  auto place = settings_.reservations.Enqueue(wanted, {.on_reserved =
                                                           [this](decode_reservation reservation) {
                                                             place_ = {};
                                                             OnReserved(std::move(reservation));
                                                           },
                                                       .on_rejected =
                                                           [this](std::string_view why) {
                                                             place_ = {};
                                                             OnNoPlace(why);
                                                           }});
  if (!place) {
    OnNoPlace(kNoSeatInTime);
    return;
  }
  place_ = std::move(*place);
}

void forward_exchange::OnReserved(decode_reservation reservation) {
  ReleaseReservation();
  context_.selector.OnStarted(reservation.backend.id, reservation.tokens);
  reservation_ = std::move(reservation);
  reservation_wait_ = timer_service::now() - settings_.received;
  OnPlaceHeld();
}

std::optional<decode_reservation> forward_exchange::TakeReservation() {
  if (reservation_) {
    context_.selector.OnEnded(reservation_->backend.id, reservation_->tokens,
                              attempt_result::kUnknown, {}, timer_service::now());
  }
  return std::exchange(reservation_, std::nullopt);
}

bool forward_exchange::IsUsable(const decode_reservation& held, instant now) const {
  return now < held.until && AcceptsWork(context_, held.backend, now);
}

bool forward_exchange::HoldsPlace(instant now) const {
  if (reservation_) {
    return IsUsable(*reservation_, now);
  }
  return !NeedsReservation() && context_.selector.Choose(MakePlacement(ServingStage(), false), now,
                                                         context_.random()) != nullptr;
}

void forward_exchange::ReleaseReservation() {
  if (const auto reservation = TakeReservation()) {
    settings_.reservations.Release(*reservation);
  }
}

milliseconds forward_exchange::TimeLeft(instant now) const {
  return std::chrono::duration_cast<milliseconds>(deadline_.at - now);
}

double forward_exchange::Cost() const {
  const auto& model = settings_.request.model;
  return model ? static_cast<double>(model->prompt_tokens + model->max_output_tokens) : 1;
}

bool forward_exchange::NeedsPrefill() const {
  if (!settings_.request.model || !kv_source_.empty() || prefill_abandoned_ || AnswerBegun() ||
      settings_.request.resume_after ||
      !context_.selector.Has(settings_.service, engine_stage::kPrefill)) {
    return false;
  }
  const instant now = timer_service::now();
  const instant on_time_until = settings_.received + settings_.route->latency_objective;
  // A retry is late anyway, so it must not slow down the streams of a decode engine.
  return is_retry_ ||
         context_.prefills.Choose(settings_.service, settings_.request.model->prompt_tokens,
                                  on_time_until - now, now) == prefill_place::kPrefillEngine;
}

void forward_exchange::RecordPrefill(prefill_place place, microseconds taken) {
  context_.prefills.RecordPrefill(settings_.service, place, settings_.request.model->prompt_tokens,
                                  taken, timer_service::now());
}

engine_stage forward_exchange::ServingStage() const {
  return context_.selector.ServingStage(settings_.service);
}

bool forward_exchange::MayRetry() const {
  const instant now = timer_service::now();
  return TimeLeft(now) > kMinAttemptTime && EndsBeforeStop(now) && !trial_ &&
         context_.budget.left(now, settings_.service) >= 1;
}

bool forward_exchange::PayForSend(instant now) {
  return sends_ == 0 || std::exchange(send_paid_, false) ||
         context_.budget.Draw(now, settings_.service);
}

void forward_exchange::SendNext() {
  const auto self = shared_from_this();
  EndAttempt();
  if (EndIfHeld()) {
    return;
  }
  const instant now = timer_service::now();
  if (TimeLeft(now) < kMinAttemptTime) {
    // An earlier attempt may have run, so DecideNextStep chooses between rejection and failure.
    rejection_reason_ = "not enough time left for an attempt";
    OnServeFailed(attempt_failure::kUnsent);
    return;
  }
  if (!kv_source_.empty() && now >= kv_until_) {
    ReleaseHandle();
  }
  const bool prefill = NeedsPrefill();
  const engine_stage stage = prefill ? engine_stage::kPrefill : ServingStage();
  if (reservation_ && !prefill) {
    SendToReservedEngine();
    return;
  }
  const placement wanted = MakePlacement(stage, prefill);
  const bool granted = !prefill && std::exchange(slot_granted_, false);
  const bool others_wait = !prefill && !granted && settings_.slots.HasWaiting(settings_.service);
  const backend_record* chosen =
      others_wait ? nullptr : context_.selector.Choose(wanted, now, context_.random());
  if (chosen == nullptr && prefill) {
    prefill_abandoned_ = true;
    SendNext();
    return;
  }
  if (chosen == nullptr && !granted && context_.selector.LimitedCapacity(wanted, now)) {
    WaitForSlot();
    return;
  }
  if (others_wait) {
    // The limits that the others wait for do not bind the servers that are left for this one.
    chosen = context_.selector.Choose(wanted, now, context_.random());
  }
  if (chosen == nullptr) {
    rejection_reason_ = "no backend server";
    OnServeFailed(attempt_failure::kUnsent);
    return;
  }
  // The first prefill that an engine accepts is free, but a rejected one costs a retry: no prefill
  // is sent that the budget could not cover.
  const bool allowed =
      prefill ? context_.budget.left(now, settings_.service) >= 1 : PayForSend(now);
  if (!allowed) {
    prefill_abandoned_ = true;
    if (prefill) {
      SendNext();
    } else {
      OnServeFailed(attempt_failure::kUnsent);
    }
    return;
  }
  StartAttempt(prefill ? attempt_kind::kPrefill : attempt_kind::kServe, *chosen);
}

placement forward_exchange::MakePlacement(engine_stage stage, bool prefill) const {
  return {.service = settings_.service,
          .stage = stage,
          .software = settings_.software,
          .cost = Cost(),
          .repeatable = prefill || settings_.route->repeatable(),
          .tried = &tried_,
          .limiter = &context_.limiter,
          .body_bytes = settings_.request.body.size(),
          .unfinished = &context_.unfinished};
}

void forward_exchange::WaitForSlot() {
  const instant now = timer_service::now();
  const instant on_time_until =
      is_retry_ ? instant{} : settings_.received + settings_.route->latency_objective;
  place_ = settings_.slots.Enqueue({.service = settings_.service,
                                    .claim = claim_,
                                    .resumes = AnswerBegun() || settings_.request.resume_after,
                                    .on_time_until = on_time_until,
                                    .latest_start = now + (deadline_.at - now) / kSlotWaitDivisor,
                                    .tried = tried_,
                                    .repeatable = settings_.route->repeatable(),
                                    .software = settings_.software,
                                    .enqueued = now},
                                   {.on_ready =
                                        [this] {
                                          place_ = {};
                                          slot_granted_ = true;
                                          OnPlaceHeld();
                                        },
                                    .on_rejected =
                                        [this](std::string_view why) {
                                          place_ = {};
                                          OnNoPlace(why);
                                        }});
}

void forward_exchange::OnPlaceHeld() {
  if (seeking_) {
    ReplaceSilentAttempt();
  } else {
    SendNext();
  }
}

void forward_exchange::OnNoPlace(std::string_view why) {
  if (std::exchange(seeking_, false)) {
    return;  // The silent attempt goes on.
  }
  limit_reached_ = limit_reached_ || why == kLimitReached;
  rejection_reason_ = why;
  OnServeFailed(attempt_failure::kUnsent);
}

void forward_exchange::SendToReservedEngine() {
  const instant now = timer_service::now();
  if (!IsUsable(*reservation_, now)) {
    ReleaseReservation();
    ReserveAndSend();
    return;
  }
  if (!PayForSend(now)) {
    OnServeFailed(attempt_failure::kUnsent);
    return;
  }
  StartAttempt(attempt_kind::kServe, context_.backends.backends().at(reservation_->backend.id));
}

void forward_exchange::StartAttempt(attempt_kind kind, const backend_record& backend) {
  if (EndIfCallerRefused()) {
    return;
  }
  if (trial_) {
    context_.quarantine.OnTrial(*trial_, timer_service::now());
  }
  const bool prefill = kind == attempt_kind::kPrefill;
  slot_granted_ = false;
  ++(prefill ? prefills_ : sends_);
  const std::optional<decode_reservation> reservation = prefill ? std::nullopt : TakeReservation();
  attempt_ = std::make_unique<attempt>(*this, kind, backend);
  const std::string bytes = context_.dialect.EncodeAttempt(
      settings_.request, {.backend_id = backend.id,
                          .time_left = CallerTimeLeft(timer_service::now()),
                          .resume_after = last_event_,
                          .prefill_only = prefill,
                          .kv_source = prefill ? std::string() : kv_source_,
                          .hold = reservation ? reservation->hold : std::string(),
                          .tenant = TenantField(context_, settings_.caller)});
  attempt_->Send(bytes, reservation.has_value());
  CheckSilenceAfter(SilenceLimit(*attempt_));
}

bool forward_exchange::EndIfCallerRefused() {
  const auto refused = AnswerBegun()
                           ? std::nullopt
                           : RefusalBeforeSend(context_, settings_.caller, settings_.request.id,
                                               timer_service::now());
  if (refused && refused->status == http_status::kUnauthorized && !MayHaveRun()) {
    Reply(refused->status, {}, "not run\n");
    Finish("refused", refused->why);
  } else if (refused) {
    EndUnanswered(http_status::kBadGateway, refused->why, refused->retry_after);
  }
  return refused.has_value();
}

void forward_exchange::ReportAnswer(microseconds taken) {
  if (!settings_.request.model) {
    context_.shedder.OnAnswer(settings_.service, taken, settings_.route->latency_objective,
                              timer_service::now());
  }
}

void forward_exchange::EndAttempt() {
  silence_timer_.Cancel();
  seeking_ = false;
  place_ = {};
  if (attempt_) {
    last_backend_ = attempt_->backend().id;
    last_software_ = attempt_->backend().software;
    last_send_ = attempt_->trace();
  }
  attempt_.reset();
}

microseconds forward_exchange::SilenceLimit(const attempt& checked) const {
  const milliseconds objective = settings_.route->latency_objective;
  if (checked.streaming()) {
    return std::max<microseconds>(kMinStallTime, objective);
  }
  const double factor =
      checked.kind() == attempt_kind::kPrefill ? kPrefillSilenceFactor : kSilenceFactor;
  return std::max<microseconds>(std::chrono::duration_cast<milliseconds>(
                                    factor * std::chrono::duration<double, std::milli>(objective)),
                                kMinAttemptTime);
}

void forward_exchange::CheckSilenceAfter(microseconds wait) {
  silence_timer_ = context_.timers.After(wait, [this](instant /*now*/) { CheckSilence(); });
}

void forward_exchange::CheckSilence() {
  const auto self = shared_from_this();
  const microseconds limit = SilenceLimit(*attempt_);
  const microseconds silence = timer_service::now() - attempt_->last_heard();
  if (silence < limit || attempt_->paused()) {
    CheckSilenceAfter(silence < limit ? limit - silence + milliseconds(1) : limit);
    return;
  }
  const bool may_move =
      attempt_->kind() == attempt_kind::kPrefill ||
      (settings_.route->repeatable() && may_resume_ && runs_ + 1 < settings_.route->max_attempts &&
       MayRetry() && context_.quarantine.MayRepeat(suspects_, timer_service::now()));
  attempt_->ReportSilence(may_move ? "seeks a replacement" : "waits on");
  CheckSilenceAfter(may_move ? kSeekInterval : limit);
  if (may_move && !seeking_) {
    SeekReplacement();
  }
}

void forward_exchange::SeekReplacement() {
  const instant now = timer_service::now();
  const bool prefill = attempt_->kind() == attempt_kind::kPrefill;
  if (prefill && reservation_ && IsUsable(*reservation_, now)) {
    ReplaceSilentAttempt();
    return;
  }
  seeking_ = true;
  tried_.insert(attempt_->backend().id);
  if (NeedsReservation()) {
    Reserve();
    return;
  }
  const bool others_wait = settings_.slots.HasWaiting(settings_.service);
  if (!others_wait && HoldsPlace(now)) {
    ReplaceSilentAttempt();
  } else if (others_wait ||
             context_.selector.LimitedCapacity(MakePlacement(ServingStage(), false), now)) {
    WaitForSlot();
  } else {
    seeking_ = false;
  }
}

void forward_exchange::StopSeeking() {
  if (std::exchange(seeking_, false)) {
    place_ = {};
  }
}

void forward_exchange::ReplaceSilentAttempt() {
  const instant now = timer_service::now();
  const bool prefill = attempt_->kind() == attempt_kind::kPrefill;
  seeking_ = false;
  const bool may_send = TimeLeft(now) > kMinAttemptTime && HoldsPlace(now);
  if (!prefill && (!may_send || !context_.budget.Draw(now, settings_.service))) {
    ReleaseReservation();
    slot_granted_ = false;
    return;
  }
  attempt_->LogFailure("silent", "goes elsewhere");
  attempt_->Report(attempt_result::kUnknown);
  context_.metrics.Count("gateway_silences", {{"outcome", "moved"}});
  if (prefill) {
    OnPrefillFailed(attempt_failure::kLost);
    return;
  }
  send_paid_ = true;
  ++runs_;
  kv_source_.clear();
  // The reservation would run out while another engine prefills.
  prefill_abandoned_ = true;
  SendNext();
}

void forward_exchange::OnPrefilled(const backend_record& backend, const std::string& handle) {
  if (std::exchange(prefilled_, true)) {
    // Only the first prefill that an engine accepts is free.
    context_.budget.Charge(timer_service::now(), settings_.service);
  }
  const engine_profile* engine = Engine();
  const microseconds life = engine != nullptr ? engine->kv_handle_life : kDefaultHandleLife;
  kv_source_ = context_.dialect.KvSource(backend.address, handle);
  kv_holder_ = backend;
  kv_handle_ = handle;
  kv_until_ = timer_service::now() +
              std::chrono::duration_cast<microseconds>(
                  kUsableHandleLifeShare * std::chrono::duration<double, std::micro>(life));
  SendNext();
}

void forward_exchange::OnPrefillFailed(attempt_failure failure) {
  StopSeeking();
  if (failure != attempt_failure::kUnsent) {
    context_.budget.Charge(timer_service::now(), settings_.service);
  }
  if (attempt_) {
    tried_.insert(attempt_->backend().id);
  }
  const bool again = failure != attempt_failure::kLost && prefills_ < kMaxPrefills;
  prefill_abandoned_ = !again;
  SendNext();
}

void forward_exchange::OnServeFailed(attempt_failure failure) {
  StopSeeking();
  if (attempt_) {
    tried_.insert(attempt_->backend().id);
  }
  const bool ran = failure != attempt_failure::kUnsent && failure != attempt_failure::kNotRun;
  runs_ += ran ? 1 : 0;
  if (ran) {
    kv_source_.clear();
  }
  // Without an attempt no further one can be sent.
  const next_step step =
      DecideNextStep(*settings_.route,
                     {.last = failure,
                      .runs = runs_,
                      .answer_begun = AnswerBegun(),
                      .may_retry = attempt_ != nullptr && may_resume_ && MayRetry() &&
                                   context_.quarantine.MayRepeat(suspects_, timer_service::now())});
  switch (step) {
    case next_step::kSendAgain:
      ReserveAndSend();
      return;
    case next_step::kRefuse:
      Reject(rejection_reason_.empty() ? ToString(failure) : rejection_reason_);
      return;
    case next_step::kPassReply:
      if (failed_head_ && !PromisesNotRun(failed_head_->status)) {
        Reply(failed_head_->status, EndToEndHeaders(*failed_head_), failed_body_);
        Finish("backend_error", ToString(failure));
        return;
      }
      Fail(http_status::kBadGateway, ToString(failure));
      return;
    case next_step::kFail:
      Fail(http_status::kBadGateway, ToString(failure));
      return;
    case next_step::kCut:
      Cut(ToString(failure));
      return;
  }
}

void forward_exchange::Deliver(const http1_head& head, std::string_view body) {
  const auto self = shared_from_this();
  std::visit(overloaded{[&](http1_responder& unanswered) {
                          std::move(unanswered).Reply(head.status, EndToEndHeaders(head), body);
                          Finish("served", "");
                        },
                        [&](http1_stream& /*begun*/) {
                          attempt_->LogFailure(kNotTheRest, "");
                          OnServeFailed(attempt_failure::kUnsound);
                        },
                        [](std::monostate) {}},
             answer_);
}

void forward_exchange::Reply(int status, const http_headers& headers, std::string_view body) {
  std::visit(
      overloaded{
          [&](http1_responder& unanswered) { std::move(unanswered).Reply(status, headers, body); },
          [](http1_stream& begun) { std::move(begun).Abort(); }, [](std::monostate) {}},
      answer_);
}

bool forward_exchange::BeginBody(const http1_head& head) {
  if (!std::holds_alternative<http1_responder>(answer_)) {
    return false;
  }
  may_resume_ = false;
  BeginAnswer(head);
  return true;
}

void forward_exchange::BeginAnswer(const http1_head& head) {
  if (auto* unanswered = std::get_if<http1_responder>(&answer_)) {
    time_to_first_event_ = timer_service::now() - settings_.received;
    answer_ = std::move(*unanswered).Begin(head.status, EndToEndHeaders(head));
  }
}

void forward_exchange::EndAnswer() {
  if (auto* begun = std::get_if<http1_stream>(&answer_)) {
    std::move(*begun).End();
    answer_ = std::monostate();
  }
}

void forward_exchange::ForwardEvents(const http1_head& head,
                                     const std::vector<stream_event>& events) {
  const auto self = shared_from_this();
  std::string whole;
  for (const stream_event& event : events) {
    if (event.id && last_event_ && *event.id <= *last_event_) {
      continue;
    }
    last_event_ = event.id ? event.id : last_event_;
    whole += event.bytes;
  }
  RecordPace(context_, pace_, attempt_->backend(), last_event_);
  if (!whole.empty()) {
    BindStream();
    BeginAnswer(head);
    SendToCaller(whole);
  }
}

void forward_exchange::BindStream() {
  if (AnswerBegun()) {
    return;
  }
  const forward_request& request = settings_.request;
  settings_.software = settings_.software.value_or(attempt_->backend().software);
  if (settings_.route->resumable) {
    settings_.streams.OnBegun(request.resume_after ? request.stream_id : request.id,
                              {.service = settings_.service, .software = *settings_.software},
                              CallerTimeLeft(timer_service::now()));
  }
}

void forward_exchange::SendToCaller(std::string_view bytes) {
  const auto self = shared_from_this();
  auto* begun = std::get_if<http1_stream>(&answer_);
  if (begun == nullptr) {
    return;
  }
  begun->Send(bytes);
  if (ended_ || !attempt_ || context_.bytes.MayReadAnswer(begun->unsent_bytes())) {
    return;
  }
  attempt_->PauseReply(true);
  pace_ = {};  // What follows is at the caller's pace.
  context_.metrics.Count("gateway_answers_paused");
  begun->OnDrained([this] { ReadOn(); });
}

void forward_exchange::ReadOn() {
  const auto* begun = std::get_if<http1_stream>(&answer_);
  if (begun != nullptr && attempt_ && attempt_->paused() &&
      context_.bytes.MayReadAnswer(2 * begun->unsent_bytes())) {
    attempt_->PauseReply(false);
  }
}

void forward_exchange::EndForwardedBody() {
  const auto self = shared_from_this();
  EndAnswer();
  Finish("served", "");
}

void forward_exchange::EndStream(const http1_head& head) {
  const auto self = shared_from_this();
  BeginAnswer(head);
  EndAnswer();
  if (settings_.request.model && last_event_ && !settings_.request.resume_after) {
    LearnOutput(context_, settings_.service, *settings_.request.model,
                *last_event_ * TokensPerEvent(), settings_.received + time_to_first_event_);
  }
  Finish("served", "");
}

bool forward_exchange::MayHaveRun() const {
  return !ProvedNotRun({.runs = runs_,
                        .under_way = attempt_ != nullptr &&
                                     attempt_->kind() == attempt_kind::kServe &&
                                     attempt_->under_way()});
}

std::optional<instant> forward_exchange::ReserveReturn(instant now) const {
  if (limit_reached_) {
    return settings_.slots.ReserveReturn(settings_.service, now, claim_.priority);
  }
  return rejection_reason_ == kNoSeatInTime
             ? settings_.reservations.ReserveReturn(MakeReservationRequest(now), now)
             : std::nullopt;
}

void forward_exchange::Reject(std::string_view why, std::optional<milliseconds> retry_after) {
  const auto self = shared_from_this();
  if (AnswerBegun()) {
    Cut(why);
    return;
  }
  if (MayHaveRun()) {
    Fail(http_status::kBadGateway, why);
    return;
  }
  const instant now = timer_service::now();
  // Another gateway may have room at once.
  const milliseconds share = context_.stop ? kMinRetryAfter : TimeLeft(now) / kRetryAfterDivisor;
  milliseconds wait = std::clamp(share, kMinRetryAfter, kMaxRetryAfter);
  if (const auto place = ReserveReturn(now)) {
    wait = std::max(kMinRetryAfter, std::chrono::ceil<milliseconds>(*place - now));
  }
  if (const auto back_off_end =
          context_.selector.BackOffEnd(settings_.service, ServingStage(), now)) {
    // No server accepts requests before that.
    wait = std::max(wait, std::chrono::ceil<milliseconds>(*back_off_end - now));
  }
  wait = retry_after.value_or(WithJitter(wait, context_.random()));
  Reply(http_status::kServiceUnavailable, context_.dialect.RejectionHeaders(wait), "not run\n");
  Finish("refused", why);
}

void forward_exchange::Fail(int status, std::string_view why) {
  const auto self = shared_from_this();
  Reply(status, {}, "outcome unknown\n");
  Finish("failed", why);
}

void forward_exchange::Cut(std::string_view why) {
  const auto self = shared_from_this();
  std::visit(overloaded{[](std::monostate) {}, [](auto& open) { std::move(open).Abort(); }},
             answer_);
  Finish("cut", why);
}

request_time_limits forward_exchange::TimeLimits(const forward_route& route) const {
  return {
      .received = settings_.received,
      .caller_waits = settings_.request.time_left,
      .route_timeout = route.timeout,
      .process_end = context_.stop ? std::optional(context_.stop->answered_by()) : std::nullopt};
}

milliseconds forward_exchange::CallerTimeLeft(instant now) const {
  const auto& waits = settings_.request.time_left;
  instant until = waits ? settings_.received + *waits : deadline_.at;
  if (context_.stop) {
    until = std::min(until, context_.stop->answered_by());
  }
  return std::chrono::duration_cast<milliseconds>(until - now);
}

void forward_exchange::ArmDeadline() {
  deadline_timer_ = context_.timers.After(
      std::max<microseconds>(deadline_.at - timer_service::now(), microseconds(0)),
      [this](instant /*now*/) { OnDeadline(); });
}

void forward_exchange::OnDeadline() {
  // A newer configuration may allow more time.
  const auto route = context_.routes.Find(settings_.request.host, settings_.request.target);
  if (route) {
    const request_deadline newest = EarliestDeadline(TimeLimits(*route));
    if (newest.at > timer_service::now()) {
      deadline_ = newest;
      ArmDeadline();
      return;
    }
  }
  EndUnanswered(http_status::kGatewayTimeout,
                deadline_.cause == deadline_cause::kProcessEnd ? kStopping : "time is up");
}

void forward_exchange::EndUnanswered(int status, std::string_view why,
                                     std::optional<milliseconds> retry_after) {
  if (AnswerBegun()) {
    Cut(why);
  } else if (MayHaveRun()) {
    Fail(status, why);
  } else {
    Reject(why, retry_after);
  }
}

void forward_exchange::OnCallerDisconnected() { Finish("caller_gone", ""); }

void forward_exchange::ReleaseHandle() {
  if (kv_source_.empty()) {
    return;
  }
  kv_source_.clear();
  if (context_.selector.backing_off(kv_holder_.id, timer_service::now()) ||
      !context_.limiter.MaySend(kv_holder_, 1, timer_service::now())) {
    return;  // The handle expires by itself.
  }
  RecordSend(context_, kv_holder_);
  context_.background.Send(
      {.loop = context_.loop,
       .timers = context_.timers,
       .client = context_.client,
       .address = kv_holder_.address,
       .bytes = context_.dialect.EncodeRelease(kv_holder_.address, kv_handle_),
       .on_head = [&context = context_, holder = kv_holder_, sent = timer_service::now()](
                      const http1_head& head) { ApplyNotice(context, holder, head, "", sent); }});
}

void forward_exchange::Finish(std::string_view outcome, std::string_view why) {
  if (std::exchange(ended_, true)) {
    return;
  }
  const auto self = shared_from_this();
  const instant now = timer_service::now();
  EndAttempt();
  deadline_timer_.Cancel();
  stop_timer_.Cancel();
  ReleaseReservation();
  ReleaseHandle();
  const auto took = now - settings_.received;
  nlohmann::json fields{
      {"route", settings_.route->name},
      {"service", settings_.service},
      {"outcome", outcome},
      {"why", why},
      {"backend", last_backend_},
      {"software", last_software_},
      {"sends", sends_},
      {"prefills", prefills_},
      {"runs", runs_},
      {"took_ms", took / milliseconds(1)},
      {"comes_back", is_retry_},
      {"allowed_ms", settings_.route->timeout.count()},
      {"bound_by", ToString(deadline_.cause)},
      {"digest", outcome == "served" ? std::string() : ToString(settings_.request.digest)},
      {"seat_ms", reservation_wait_ / milliseconds(1)},
      {"first_ms", time_to_first_event_ / milliseconds(1)},
      {"events", last_event_.value_or(0)},
      {"configuration_at_start", first_configuration_},
      {"configuration", context_.routes.configuration()->version}};
  AddRequest(fields, settings_.request);
  AddTrace(fields, last_send_);
  Log(log_level::kInfo, "request", std::move(fields));
  context_.metrics.Count("gateway_requests", {{"outcome", std::string(outcome)}});
  CountByClaim(context_, claim_, outcome);
  context_.metrics.Observe("gateway_request_time", {{"outcome", std::string(outcome)}}, took);
  settings_.on_ended(*this, sends_ == 0 || outcome == "refused");
}

}  // namespace jacinthspool
