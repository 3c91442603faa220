#include "src/gateway/forward_exchange.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "src/gateway/backend_notices.h"
#include "src/gateway/one_way_call.h"
#include "src/telemetry/log.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

/// With less time left than this no attempt is begun.
constexpr milliseconds kLeastUsefulTime = milliseconds(20);
/// A repeatable request is sent elsewhere after this part of its latency objective in silence.
constexpr double kPatience = 1.3;
/// A stream is taken for stalled after this silence, or its latency objective if that is longer.
constexpr milliseconds kShortestStall = milliseconds(1200);
/// Part of the latency objective that a prefill may take.
constexpr double kPrefillPatience = 1.2;
/// A KV cache is not sent for in the last part of its life.
constexpr double kUsableHandleLife = 0.8;
/// The life of a KV cache that waits, where the operators don't tell it.
constexpr microseconds kUnknownHandleLife = milliseconds(300);
constexpr std::uint32_t kMaxPrefills = 2;
/// What a refused caller is told to wait, as a part of the time it has left.
constexpr int kComeBackDivisor = 4;
constexpr milliseconds kShortestComeBack = milliseconds(50);
constexpr milliseconds kLongestComeBack = seconds(4);
constexpr milliseconds kConnectTimeout = milliseconds(400);

/// Time that an engine takes for an output token, when it is well filled.
constexpr microseconds kOutputTokenTime = microseconds(4500);
/// From a seat to the first event: prefill, transfer and the first tokens.
constexpr milliseconds kFirstEventTime = milliseconds(250);

/// A whole answer up to this size is kept back until it has ended, so that one that breaks off can
/// be repeated; a longer one is passed on as it comes.
constexpr std::size_t kMaxKeptAnswer = 64U << 10U;
/// The reply to a prefill is a short JSON object.
constexpr std::size_t kMaxPrefillReply = 16U << 10U;
/// No event of a stream is longer; what goes on without an end is none.
constexpr std::size_t kMaxEventBytes = 256U << 10U;
/// No more of an answer is read from the backend server while its caller has to take this much.
constexpr std::size_t kMaxUnsentBytes = 128U << 10U;

/// Statuses that promise that the request has not run.
bool PromisesNotRun(int status) {
  return status == http_status::kRequestTimeout || status == http_status::kMisdirectedRequest ||
         status == http_status::kTooManyRequests || status == http_status::kServiceUnavailable;
}

bool IsSuccess(int status) {
  return status >= http_status::kOk && status < http_status::kMultipleChoices;
}

/// \returns true for an answer that its caller gets, rather than one that counts as a failure.
bool IsDelivered(int status) {
  return IsSuccess(status) ||
         (status >= http_status::kBadRequest && status < http_status::kInternalServerError &&
          !PromisesNotRun(status));
}

http_headers EndToEndHeaders(const http1_head& head) {
  http_headers kept;
  for (const auto& header : head.headers) {
    if (!IsHopByHop(header.first)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace

/// One send to one backend server.
class forward_exchange::attempt : public http1_call_listener {
 public:
  attempt(forward_exchange& owner, attempt_kind kind, backend_record backend)
      : owner_(owner),
        kind_(kind),
        backend_(std::move(backend)),
        started_(timer_service::now()),
        last_heard_(started_) {
    owner_.context_.selector.OnStarted(backend_.id, owner_.Cost());
  }

  ~attempt() override {
    // Whoever ends it early has learnt nothing of the backend server.
    Report(attempt_result::kUnknown);
  }
  attempt(const attempt&) = delete;
  attempt& operator=(const attempt&) = delete;

  void Send(const std::string& bytes) {
    call_ = owner_.context_.client.Start(
        {.address = backend_.address,
         .bytes = bytes,
         .expects_body = owner_.settings_.request.method != "HEAD",
         // A late second copy of its first answer bears the same id.
         .new_connection = owner_.tried_.contains(backend_.id),
         .connect_timeout = kConnectTimeout,
         .max_body_bytes = kind_ == attempt_kind::kPrefill
                               ? kMaxPrefillReply
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

  /// Tells the selector how it went, once.
  void Report(attempt_result result) {
    if (std::exchange(reported_, true)) {
      return;
    }
    const instant heard = head_ ? first_heard_ : timer_service::now();
    owner_.context_.selector.OnEnded(backend_.id, owner_.Cost(), result, heard - started_,
                                     timer_service::now());
    if (backend_.stage == engine_stage::kDecode) {
      owner_.settings_.seats.OnRoomFreed(backend_.id);
    }
  }

  head_verdict OnHead(const http1_head& head) override {
    TakeNotice(owner_.context_, backend_, head, owner_.settings_.request.id);
    facts_ = owner_.context_.dialect.DecodeReply(head, owner_.settings_.request);
    if (!facts_.same_request) {
      Log(log_level::kWarning, "stray_reply",
          {{"request", owner_.settings_.request.id}, {"backend", backend_.id}});
      return head_verdict::kSkip;
    }
    first_heard_ = last_heard_ = timer_service::now();
    head_ = head;
    streaming_ = kind_ == attempt_kind::kServe &&
                 owner_.settings_.route->kind == request_kind::kStreaming &&
                 head.status == http_status::kOk && facts_.sound;
    if (streaming_) {
      read_in_place_ = owner_.kv_source_.empty() && owner_.settings_.request.model &&
                       !owner_.settings_.request.resume_after && !owner_.answer_begun_;
      // The engine has taken the prompt's KV cache; there is nothing left to free.
      owner_.kv_source_.clear();
    }
    return head_verdict::kTake;
  }

  void OnBody(std::string_view bytes) override {
    if (streaming_) {
      OnStreamBytes(bytes);
      return;
    }
    last_heard_ = timer_service::now();
    if (passing_on_) {
      owner_.PassOn(bytes);
      return;
    }
    body_ += bytes;
    if (body_.size() <= kMaxKeptAnswer) {
      return;
    }
    if (!facts_.sound || facts_.not_run || !IsDelivered(head_->status)) {
      LogFailure("too long for an error", "");
      End(attempt_result::kFailed, attempt_failure::kUnsound);
      return;
    }
    passing_on_ = true;
    owner_.may_go_on_ = false;
    const std::string begun = std::exchange(body_, {});
    owner_.BeginAnswer(*head_);
    owner_.PassOn(begun);
  }

  void OnEnd(call_end end, const std::string& reason) override {
    const auto owner = owner_.shared_from_this();
    if (end == call_end::kWhole) {
      OnWhole();
      return;
    }
    LogFailure(ToString(end), reason);
    const bool unsent = end == call_end::kUnsent;
    const attempt_failure failure = unsent                        ? attempt_failure::kUnsent
                                    : end == call_end::kMalformed ? attempt_failure::kUnsound
                                    : end == call_end::kCut       ? attempt_failure::kBrokeOff
                                                                  : attempt_failure::kLost;
    End(unsent ? attempt_result::kUnreachable : attempt_result::kFailed, failure);
  }

  void LogFailure(std::string_view how, std::string_view reason) const {
    Log(log_level::kWarning, "attempt_failed",
        {{"request", owner_.settings_.request.id},
         {"backend", backend_.id},
         {"prefill", kind_ == attempt_kind::kPrefill},
         {"how", how},
         {"reason", reason},
         {"status", head_ ? head_->status : 0},
         {"took_ms", (timer_service::now() - started_) / milliseconds(1)},
         {"list_revision", owner_.context_.backends.revision()}});
  }

 private:
  void OnStreamBytes(std::string_view bytes) {
    const std::vector<stream_event> events = events_.Split(bytes);
    // Neither a part of an event nor a comment shows that the engine gets on.
    if (std::any_of(events.begin(), events.end(),
                    [](const stream_event& each) { return !each.bytes.starts_with(':'); })) {
      last_heard_ = timer_service::now();
    }
    if (events_.pending_bytes() > kMaxEventBytes) {
      LogFailure("event without end", "");
      End(attempt_result::kFailed, attempt_failure::kBrokeOff);
      return;
    }
    if (!events.empty() && std::exchange(read_in_place_, false)) {
      owner_.CountRead(prefill_place::kDecodeEngine, timer_service::now() - started_);
    }
    owner_.ForwardEvents(*head_, events);
  }

  void OnWhole() {
    const int status = head_->status;
    if (facts_.not_run) {
      LogFailure("not_run", "");
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
    if (streaming_ ? events_.inside_event() : !facts_.sound) {
      LogFailure(streaming_ ? "event cut" : "not a genuine answer", "");
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
      if (passing_on_) {
        owner_.EndPassedOn();
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
      LogFailure("no handle", "");
      End(attempt_result::kFailed, attempt_failure::kFailedReply);
      return;
    }
    Report(attempt_result::kGood);
    owner_.CountRead(prefill_place::kPrefillEngine, first_heard_ - started_);
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
  backend_record backend_;
  instant started_;
  instant first_heard_{};
  instant last_heard_;
  std::optional<http1_head> head_;
  reply_facts facts_;
  std::string body_;
  event_splitter events_;
  bool streaming_ = false;
  bool read_in_place_ = false;  ///< The engine reads the prompt; no event has come yet.
  bool passing_on_ = false;     ///< The body goes to the caller as it comes.
  bool paused_ = false;
  bool reported_ = false;
  std::unique_ptr<http1_call> call_;
};

forward_exchange::forward_exchange(options settings)
    : settings_(std::move(settings)), context_(settings_.context) {
  last_event_ = settings_.request.resume_after;
}

forward_exchange::~forward_exchange() = default;

void forward_exchange::Start() {
  deadline_ = DeadlineOf(*settings_.route);
  context_.budget.CountRequest(settings_.received, settings_.service);
  settings_.answer->OnCallerGone([this] { OnCallerGone(); });
  ArmDeadline();
  comes_back_ = settings_.request.model && settings_.request.time_left &&
                context_.patience.IsRetry(settings_.route->name, *settings_.request.time_left,
                                          settings_.received);
  if (settings_.request.model ||
      context_.shedder.Admit(settings_.service, context_.random(), settings_.received)) {
    SeatAndSend();
  } else {
    Refuse("service overloaded");
  }
}

const engine_profile* forward_exchange::Engine() const {
  return context_.routes.configuration()->FindEngine(settings_.service);
}

std::uint64_t forward_exchange::TokensPerEvent() const {
  const engine_profile* engine = Engine();
  return engine != nullptr ? engine->tokens_per_event : 1;
}

bool forward_exchange::WantsSeat() const {
  const engine_profile* engine = Engine();
  return settings_.request.model && engine != nullptr && engine->longest_hold > microseconds(0) &&
         context_.selector.Has(settings_.service, engine_stage::kDecode);
}

seat_claim forward_exchange::ClaimOf(instant now) const {
  const model_work& work = *settings_.request.model;
  const std::uint64_t output = context_.outputs.TokensToReserve(
      settings_.service, work.expected_output_tokens, work.max_output_tokens);
  const auto decoding = std::chrono::duration_cast<microseconds>(kOutputTokenTime *
                                                                 static_cast<std::int64_t>(output));
  instant latest_start = deadline_ - decoding - kFirstEventTime;
  const milliseconds silence = settings_.route->silence_limit;
  const milliseconds objective = settings_.route->latency_objective;
  if (silence > milliseconds(0) && !answer_begun_) {
    latest_start = std::min(latest_start, settings_.received + silence - kFirstEventTime);
  }
  return {
      .service = settings_.service,
      .tokens = static_cast<double>(work.prompt_tokens + output),
      .resumes = answer_begun_ || settings_.request.resume_after.has_value(),
      .on_time_until = comes_back_ ? instant{} : settings_.received + objective - kFirstEventTime,
      .latest_start = std::max(now + kLeastUsefulTime, latest_start)};
}

void forward_exchange::SeatAndSend() {
  if (!WantsSeat()) {
    SendNext();
    return;
  }
  EndAttempt();
  const instant now = timer_service::now();
  if (TimeLeft(now) < kLeastUsefulTime) {
    OnServeFailed(attempt_failure::kUnsent);
    return;
  }
  const seat_claim claim = ClaimOf(now);
  if (sends_ == 0 && !claim.resumes) {
    const model_work& work = *settings_.request.model;
    context_.balance.OnRequest(settings_.service, work.prompt_tokens, claim.tokens,
                               work.expected_output_tokens);
  }
  const auto quiet = context_.selector.BackOffEnd(settings_.service, engine_stage::kDecode, now);
  if (quiet && *quiet > claim.latest_start) {
    given_up_because_ = "all engines want quiet";
    OnServeFailed(attempt_failure::kUnsent);
    return;
  }
  claim_ = settings_.seats.Claim(claim, {.on_seat =
                                             [this](decode_seat seat) {
                                               claim_ = 0;
                                               TakeSeat(std::move(seat));
                                             },
                                         .on_refused =
                                             [this](std::string_view why) {
                                               claim_ = 0;
                                               given_up_because_ = why;
                                               OnServeFailed(attempt_failure::kUnsent);
                                             }});
}

void forward_exchange::TakeSeat(decode_seat seat) {
  context_.selector.OnStarted(seat.backend.id, seat.tokens);
  seat_ = std::move(seat);
  seat_wait_ = timer_service::now() - settings_.received;
  SendNext();
}

std::optional<decode_seat> forward_exchange::LeaveSeat() {
  if (seat_) {
    context_.selector.OnEnded(seat_->backend.id, seat_->tokens, attempt_result::kUnknown, {},
                              timer_service::now());
  }
  return std::exchange(seat_, std::nullopt);
}

void forward_exchange::GiveSeatBack() {
  if (const auto seat = LeaveSeat()) {
    settings_.seats.Release(*seat);
  }
}

milliseconds forward_exchange::TimeLeft(instant now) const {
  return std::chrono::duration_cast<milliseconds>(deadline_ - now);
}

double forward_exchange::Cost() const {
  const auto& model = settings_.request.model;
  return model ? static_cast<double>(model->prompt_tokens + model->max_output_tokens) : 1;
}

bool forward_exchange::WantsPrefill() const {
  if (!settings_.request.model || !kv_source_.empty() || prefill_given_up_ || answer_begun_ ||
      settings_.request.resume_after ||
      !context_.selector.Has(settings_.service, engine_stage::kPrefill)) {
    return false;
  }
  const instant now = timer_service::now();
  const instant on_time_until = settings_.received + settings_.route->latency_objective;
  // For a caller that is late anyway, no stream of a decode engine is slowed down.
  return comes_back_ ||
         context_.prefills.Choose(settings_.service, settings_.request.model->prompt_tokens,
                                  on_time_until - now, now) == prefill_place::kPrefillEngine;
}

void forward_exchange::CountRead(prefill_place place, microseconds taken) {
  context_.prefills.RecordPrefill(settings_.service, place, settings_.request.model->prompt_tokens,
                                  taken, timer_service::now());
}

engine_stage forward_exchange::ServingStage() const {
  const bool staged = context_.selector.Has(settings_.service, engine_stage::kDecode);
  return staged ? engine_stage::kDecode : engine_stage::kNone;
}

bool forward_exchange::MaySendAgain() const {
  const instant now = timer_service::now();
  return TimeLeft(now) > kLeastUsefulTime && context_.budget.left(now, settings_.service) >= 1;
}

void forward_exchange::SendNext() {
  const auto self = shared_from_this();
  EndAttempt();
  const instant now = timer_service::now();
  if (TimeLeft(now) < kLeastUsefulTime) {
    // It may have run before: whether that is a refusal is decided with all else.
    given_up_because_ = "no time left";
    OnServeFailed(attempt_failure::kUnsent);
    return;
  }
  if (!kv_source_.empty() && now >= kv_until_) {
    ReleaseHandle();
  }
  const bool prefill = WantsPrefill();
  const engine_stage stage = prefill ? engine_stage::kPrefill : ServingStage();
  if (seat_ && !prefill) {
    SendToSeat();
    return;
  }
  const backend_record* chosen =
      context_.selector.Choose({.service = settings_.service,
                                .stage = stage,
                                .cost = Cost(),
                                .repeatable = prefill || settings_.route->repeatable(),
                                .tried = &tried_},
                               now, context_.random());
  if (chosen == nullptr && prefill) {
    prefill_given_up_ = true;
    SendNext();
    return;
  }
  if (chosen == nullptr) {
    given_up_because_ = "no backend server";
    OnServeFailed(attempt_failure::kUnsent);
    return;
  }
  // The first prefill that an engine takes is free, and a refused one costs a repeat: none is
  // risked that could not be paid for.
  const bool allowed = prefill      ? context_.budget.left(now, settings_.service) >= 1
                       : sends_ > 0 ? context_.budget.Draw(now, settings_.service)
                                    : true;
  if (!allowed) {
    prefill_given_up_ = true;
    if (prefill) {
      SendNext();
    } else {
      OnServeFailed(attempt_failure::kUnsent);
    }
    return;
  }
  StartAttempt(prefill ? attempt_kind::kPrefill : attempt_kind::kServe, *chosen);
}

void forward_exchange::SendToSeat() {
  const instant now = timer_service::now();
  if (now >= seat_->until || !TakesWork(context_, seat_->backend, now)) {
    GiveSeatBack();
    SeatAndSend();
    return;
  }
  if (sends_ > 0 && !context_.budget.Draw(now, settings_.service)) {
    OnServeFailed(attempt_failure::kUnsent);
    return;
  }
  StartAttempt(attempt_kind::kServe, context_.backends.backends().at(seat_->backend.id));
}

void forward_exchange::StartAttempt(attempt_kind kind, const backend_record& backend) {
  const bool prefill = kind == attempt_kind::kPrefill;
  ++(prefill ? prefills_ : sends_);
  const std::optional<decode_seat> seat = prefill ? std::nullopt : LeaveSeat();
  attempt_ = std::make_unique<attempt>(*this, kind, backend);
  const std::string bytes = context_.dialect.EncodeAttempt(
      settings_.request, {.backend_id = backend.id,
                          .time_left = CallerTimeLeft(timer_service::now()),
                          .resume_after = last_event_,
                          .prefill_only = prefill,
                          .kv_source = prefill ? std::string() : kv_source_,
                          .hold = seat ? seat->hold : std::string()});
  attempt_->Send(bytes);
  const double patience = prefill ? kPrefillPatience : kPatience;
  const auto wait = std::chrono::duration_cast<milliseconds>(
      patience * std::chrono::duration<double, std::milli>(settings_.route->latency_objective));
  silence_timer_ = context_.timers.After(std::max<microseconds>(wait, kLeastUsefulTime),
                                         [this](instant /*now*/) { OnSilent(*attempt_); });
}

void forward_exchange::ReportAnswer(microseconds taken) {
  if (!settings_.request.model) {
    context_.shedder.OnAnswer(settings_.service, taken, settings_.route->latency_objective,
                              timer_service::now());
  }
}

void forward_exchange::EndAttempt() {
  silence_timer_.Cancel();
  attempt_.reset();
}

void forward_exchange::OnSilent(attempt& silent) {
  const instant now = timer_service::now();
  if (silent.streaming()) {
    const auto limit = std::max<microseconds>(kShortestStall, settings_.route->latency_objective);
    const auto quiet = now - silent.last_heard();
    // Checked again also where it can't go elsewhere now: later it may.
    const auto wait = quiet < limit ? limit - quiet + milliseconds(1) : limit;
    silence_timer_ = context_.timers.After(wait, [this](instant /*now*/) { OnSilent(*attempt_); });
    if (quiet < limit || silent.paused()) {
      return;
    }
  }
  const bool prefill = silent.kind() == attempt_kind::kPrefill;
  const bool may_leave = prefill || (settings_.route->repeatable() &&
                                     runs_ + 1 < settings_.route->max_attempts && MaySendAgain() &&
                                     context_.selector.Choose({.service = settings_.service,
                                                               .stage = silent.backend().stage,
                                                               .cost = Cost(),
                                                               .repeatable = true,
                                                               .tried = &tried_},
                                                              now, context_.random()) != nullptr);
  context_.selector.OnSilent(silent.backend().id, now);
  silent.LogFailure("silent", may_leave ? "goes elsewhere" : "waits on");
  if (!may_leave) {
    return;
  }
  silent.Report(attempt_result::kUnknown);
  if (prefill) {
    OnPrefillFailed(attempt_failure::kLost);
  } else {
    OnServeFailed(attempt_failure::kLost);
  }
}

void forward_exchange::OnPrefilled(const backend_record& backend, const std::string& handle) {
  if (std::exchange(prefilled_, true)) {
    // Only the first prefill that an engine takes is free.
    context_.budget.Charge(timer_service::now(), settings_.service);
  }
  const engine_profile* engine = Engine();
  const microseconds life = engine != nullptr ? engine->kv_handle_life : kUnknownHandleLife;
  kv_source_ = context_.dialect.KvSource(backend.address, handle);
  kv_holder_ = backend;
  kv_handle_ = handle;
  kv_until_ = timer_service::now() +
              std::chrono::duration_cast<microseconds>(
                  kUsableHandleLife * std::chrono::duration<double, std::micro>(life));
  SendNext();
}

void forward_exchange::OnPrefillFailed(attempt_failure failure) {
  if (failure != attempt_failure::kUnsent) {
    context_.budget.Charge(timer_service::now(), settings_.service);
  }
  if (attempt_) {
    tried_.insert(attempt_->backend().id);
  }
  const bool again = failure != attempt_failure::kLost && prefills_ < kMaxPrefills;
  prefill_given_up_ = !again;
  SendNext();
}

void forward_exchange::OnServeFailed(attempt_failure failure) {
  if (attempt_) {
    tried_.insert(attempt_->backend().id);
  }
  const bool ran = failure != attempt_failure::kUnsent && failure != attempt_failure::kNotRun;
  runs_ += ran ? 1 : 0;
  if (ran) {
    kv_source_.clear();
  }
  // Without an attempt nothing can be sent any more.
  const next_step step = DecideNextStep(
      *settings_.route, {.last = failure,
                         .runs = runs_,
                         .answer_begun = answer_begun_,
                         .may_retry = attempt_ != nullptr && may_go_on_ && MaySendAgain()});
  switch (step) {
    case next_step::kSendAgain:
      SeatAndSend();
      return;
    case next_step::kRefuse:
      Refuse(given_up_because_.empty() ? ToString(failure) : given_up_because_);
      return;
    case next_step::kPassReply:
      if (failed_head_ && !PromisesNotRun(failed_head_->status)) {
        settings_.answer->Reply(failed_head_->status, EndToEndHeaders(*failed_head_), failed_body_);
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
  settings_.answer->Reply(head.status, EndToEndHeaders(head), body);
  Finish("served", "");
}

void forward_exchange::BeginAnswer(const http1_head& head) {
  if (!std::exchange(answer_begun_, true)) {
    first_event_ = timer_service::now() - settings_.received;
    settings_.answer->Begin(head.status, EndToEndHeaders(head));
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
  if (!whole.empty()) {
    BeginAnswer(head);
    PassOn(whole);
  }
}

void forward_exchange::PassOn(std::string_view bytes) {
  const auto self = shared_from_this();
  settings_.answer->Send(bytes);
  if (ended_ || !attempt_ || settings_.answer->unsent_bytes() <= kMaxUnsentBytes) {
    return;
  }
  attempt_->PauseReply(true);
  settings_.answer->OnDrained([this] {
    if (attempt_ && attempt_->paused()) {
      attempt_->PauseReply(false);
    }
  });
}

void forward_exchange::EndPassedOn() {
  const auto self = shared_from_this();
  settings_.answer->End();
  Finish("served", "");
}

void forward_exchange::EndStream(const http1_head& head) {
  const auto self = shared_from_this();
  BeginAnswer(head);
  settings_.answer->End();
  if (settings_.request.model && last_event_ && !settings_.request.resume_after) {
    const std::uint64_t tokens = *last_event_ * TokensPerEvent();
    context_.outputs.Learn(settings_.service, settings_.request.model->expected_output_tokens,
                           tokens);
    context_.balance.OnOutput(settings_.service, tokens,
                              timer_service::now() - settings_.received - first_event_);
  }
  Finish("served", "");
}

void forward_exchange::Refuse(std::string_view why) {
  const auto self = shared_from_this();
  if (answer_begun_) {
    Cut(why);
    return;
  }
  const instant now = timer_service::now();
  const milliseconds share = TimeLeft(now) / kComeBackDivisor;
  milliseconds wait = std::clamp(share, kShortestComeBack, kLongestComeBack);
  if (const auto quiet = context_.selector.BackOffEnd(settings_.service, ServingStage(), now)) {
    // Nobody takes requests before that.
    wait = std::max(wait, std::chrono::ceil<milliseconds>(*quiet - now));
  }
  // Spread over a quarter of the wait, so that callers refused together don't return together.
  const auto jitter = milliseconds(
      static_cast<std::int64_t>(context_.random() % static_cast<std::uint64_t>(wait.count())) / 4);
  settings_.answer->Reply(http_status::kServiceUnavailable,
                          context_.dialect.RefusalHeaders(wait + jitter), "not run\n");
  Finish("refused", why);
}

void forward_exchange::Fail(int status, std::string_view why) {
  const auto self = shared_from_this();
  settings_.answer->Reply(status, {}, "outcome unknown\n");
  Finish("failed", why);
}

void forward_exchange::Cut(std::string_view why) {
  const auto self = shared_from_this();
  settings_.answer->Cut();
  Finish("cut", why);
}

instant forward_exchange::DeadlineOf(const forward_route& route) const {
  microseconds allowed = route.timeout;
  if (settings_.request.time_left) {
    allowed = std::min<microseconds>(allowed, *settings_.request.time_left);
  }
  return settings_.received + allowed;
}

milliseconds forward_exchange::CallerTimeLeft(instant now) const {
  const auto& waits = settings_.request.time_left;
  return waits ? std::chrono::duration_cast<milliseconds>(settings_.received + *waits - now)
               : TimeLeft(now);
}

void forward_exchange::ArmDeadline() {
  deadline_timer_ = context_.timers.After(
      std::max<microseconds>(deadline_ - timer_service::now(), microseconds(0)),
      [this](instant /*now*/) { OnDeadline(); });
}

void forward_exchange::OnDeadline() {
  // A configuration that has come since may allow more time.
  const auto route = context_.routes.Find(settings_.request.host, settings_.request.target);
  if (route && DeadlineOf(*route) > timer_service::now()) {
    deadline_ = DeadlineOf(*route);
    ArmDeadline();
    return;
  }
  const bool may_have_run = runs_ > 0 || (attempt_ && attempt_->kind() == attempt_kind::kServe);
  if (answer_begun_) {
    Cut("time is up");
  } else if (may_have_run) {
    Fail(http_status::kGatewayTimeout, "time is up");
  } else {
    Refuse("time is up");
  }
}

void forward_exchange::OnCallerGone() { Finish("caller_gone", ""); }

void forward_exchange::ReleaseHandle() {
  if (kv_source_.empty()) {
    return;
  }
  kv_source_.clear();
  if (context_.selector.backing_off(kv_holder_.id, timer_service::now())) {
    return;  // It lapses by itself.
  }
  context_.one_way.Send(
      {.loop = context_.loop,
       .client = context_.client,
       .address = kv_holder_.address,
       .bytes = context_.dialect.EncodeRelease(kv_holder_.address, kv_handle_),
       .on_head = [&context = context_, holder = kv_holder_](const http1_head& head) {
         TakeNotice(context, holder, head, "");
       }});
}

void forward_exchange::Finish(std::string_view outcome, std::string_view why) {
  if (std::exchange(ended_, true)) {
    return;
  }
  const auto self = shared_from_this();
  const instant now = timer_service::now();
  const std::string last = attempt_ ? attempt_->backend().id : "";
  EndAttempt();
  deadline_timer_.Cancel();
  settings_.seats.Withdraw(claim_);
  GiveSeatBack();
  ReleaseHandle();
  const auto took = now - settings_.received;
  Log(log_level::kInfo, "request",
      {{"request", settings_.request.id},
       {"route", settings_.route->name},
       {"service", settings_.service},
       {"outcome", outcome},
       {"why", why},
       {"backend", last},
       {"sends", sends_},
       {"prefills", prefills_},
       {"runs", runs_},
       {"took_ms", took / milliseconds(1)},
       {"comes_back", comes_back_},
       {"allowed_ms", settings_.route->timeout.count()},
       {"caller_waits_ms", settings_.request.time_left.value_or(milliseconds(0)).count()},
       {"seat_ms", seat_wait_ / milliseconds(1)},
       {"first_ms", first_event_ / milliseconds(1)},
       {"prompt_tokens", settings_.request.model ? settings_.request.model->prompt_tokens : 0},
       {"max_output", settings_.request.model ? settings_.request.model->max_output_tokens : 0},
       {"expected_output",
        settings_.request.model ? settings_.request.model->expected_output_tokens : 0},
       {"events", last_event_.value_or(0)},
       {"configuration", context_.routes.configuration()->version}});
  context_.metrics.Count("gateway_requests", {{"outcome", std::string(outcome)}});
  context_.metrics.Observe("gateway_request_time", {{"outcome", std::string(outcome)}}, took);
  settings_.on_ended(*this);
}

}  // namespace jacinthspool
