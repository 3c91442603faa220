#include "src/gateway/reservation_dispatcher.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "src/gateway/backend_notices.h"
#include "src/gateway/background_call.h"
#include "src/telemetry/log.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

/// Period in which queued requests are tried again.
constexpr milliseconds kTickPeriod = milliseconds(25);
/// An engine that has denied a reservation is not tried again for this time.
constexpr milliseconds kDenialPause = milliseconds(40);
/// Life of a reservation: ample for a prefill and the calls up to it.
constexpr milliseconds kReservationLife = milliseconds(1500);
constexpr milliseconds kReservationTimeout = milliseconds(250);
constexpr std::size_t kMaxCalls = 8;  ///< In progress at once.
/// The reply to a reservation is a short JSON object.
constexpr std::size_t kMaxReplyBytes = 4U << 10U;

}  // namespace

/// One call that requests a reservation of one engine.
class reservation_dispatcher::reservation_call : public http1_call_listener {
 public:
  reservation_call(reservation_dispatcher& owner, std::uint64_t number, backend_record backend,
                   double tokens, bool probes)
      : owner_(owner),
        number_(number),
        backend_(std::move(backend)),
        tokens_(tokens),
        probes_(probes) {}

  void Send() {
    gateway_context& context = owner_.context_;
    sent_ = timer_service::now();
    RecordSend(context, backend_, probes_ ? 1 : kReservedCalls);
    call_ = context.client.Start(
        {.address = backend_.address,
         .bytes = context.dialect.EncodeReservation(
             backend_.address, backend_.id, static_cast<std::uint64_t>(tokens_), kReservationLife),
         .connect_timeout = kReservationTimeout,
         .max_body_bytes = kMaxReplyBytes},
        *this);
    timeout_ = context.timers.After(kReservationTimeout, [this](instant /*now*/) {
      call_.reset();
      OnEnd(call_outcome::kLost, "no answer in time");
    });
  }

  [[nodiscard]] std::uint64_t number() const { return number_; }
  [[nodiscard]] const backend_record& backend() const { return backend_; }
  [[nodiscard]] double tokens() const { return tokens_; }
  /// \returns true when the call only probes for spare memory.
  [[nodiscard]] bool probes() const { return probes_; }

  head_action OnHead(const http1_head& head) override {
    if (owner_.context_.dialect.HasRequestId(head)) {
      Log(log_level::kWarning, "stray_reply",
          {{"reservation", number_}, {"backend", backend_.id}, {"status", head.status}});
      return head_action::kSkip;
    }
    status_ = head.status;
    ApplyNotice(owner_.context_, backend_, head, "", sent_);
    return head_action::kAccept;
  }
  void OnBody(std::string_view bytes) override { body_ += bytes; }
  void OnEnd(call_outcome end, const std::string& /*reason*/) override {
    timeout_.Cancel();
    const bool answered = end == call_outcome::kWhole;
    std::string hold;
    if (answered && status_ == http_status::kOk) {
      hold = owner_.context_.dialect.DecodeReservation(body_).value_or("");
    }
    owner_.OnCallEnded(*this, hold, answered);
  }

 private:
  reservation_dispatcher& owner_;
  std::uint64_t number_;
  backend_record backend_;
  double tokens_;
  bool probes_;
  std::unique_ptr<http1_call> call_;
  timer_subscription timeout_;
  instant sent_{};
  int status_ = 0;
  std::string body_;
};

reservation_dispatcher::reservation_dispatcher(gateway_context& context)
    : context_(context), queue_({}), headroom_({}) {}
reservation_dispatcher::~reservation_dispatcher() = default;

bool reservation_dispatcher::IsHopeless(const reservation_request& request, instant now) const {
  const auto capacity = context_.selector.LimitedCapacity({.service = request.service,
                                                           .stage = engine_stage::kDecode,
                                                           .software = request.software,
                                                           .limiter = &context_.limiter,
                                                           .calls = kReservedCalls},
                                                          now);
  if (!capacity) {
    return false;
  }
  if (!capacity->ready || capacity->per_second <= 0) {
    return true;
  }
  const std::chrono::duration<double> queued{static_cast<double>(queue_.Ahead(request, now)) /
                                             capacity->per_second};
  return *capacity->ready + std::chrono::duration_cast<microseconds>(queued) > request.latest_start;
}

bool reservation_dispatcher::HasVersion(const reservation_request& request) const {
  return !request.software || context_.selector.CountSoftware(
                                  request.service, engine_stage::kDecode, *request.software) > 0;
}

std::optional<queued_place> reservation_dispatcher::Enqueue(reservation_request request,
                                                            handlers callbacks) {
  headroom_.Learn(request);
  const auto number = queue_.Add(std::move(request), timer_service::now());
  if (!number) {
    return std::nullopt;
  }
  handlers_.emplace(*number, std::move(callbacks));
  // Starts calls at most: none of them ends before a later loop iteration.
  Dispatch();
  return queued_place([this, withdrawn = *number] { Withdraw(withdrawn); });
}

void reservation_dispatcher::Withdraw(std::uint64_t number) {
  queue_.Remove(number);
  handlers_.erase(number);
}

void reservation_dispatcher::Release(const decode_reservation& reservation) {
  context_.limiter.OnUnsent(reservation.backend, kReservedCalls - 1, timer_service::now());
  ReleaseHold(reservation.backend, reservation.hold, {});
}

void reservation_dispatcher::ReleaseHold(const backend_record& backend, const std::string& hold,
                                         std::function<void()> on_ended) {
  if (context_.selector.backing_off(backend.id, timer_service::now()) ||
      !context_.limiter.MaySend(backend, 1, timer_service::now())) {
    // The reservation expires by itself; its server is to get no request now.
    if (on_ended) {
      context_.loop.Post(std::move(on_ended));
    }
    return;
  }
  RecordSend(context_, backend);
  context_.background.Send(
      {.loop = context_.loop,
       .timers = context_.timers,
       .client = context_.client,
       .address = backend.address,
       .bytes = context_.dialect.EncodeReservationRelease(backend.address, hold),
       .on_head = [this, backend, sent = timer_service::now()](
                      const http1_head& head) { ApplyNotice(context_, backend, head, "", sent); },
       .on_ended = std::move(on_ended)});
}

void reservation_dispatcher::OnMemoryFreed(const std::string& backend_id) {
  context_.selector.ClearBusy(backend_id);
  if (queue_.size() > 0) {
    Dispatch();
  }
}

void reservation_dispatcher::Dispatch() {
  const instant now = timer_service::now();
  while (calls_.size() < kMaxCalls && TryNext(now)) {
  }
  if (queue_.size() > 0 && !tick_.active()) {
    tick_ = context_.timers.After(kTickPeriod, [this](instant /*unused*/) { Tick(); });
  }
}

void reservation_dispatcher::Tick() {
  tick_ = {};
  RejectExpired();
  Dispatch();
}

void reservation_dispatcher::RejectExpired() {
  const instant now = timer_service::now();
  std::vector<std::uint64_t> hopeless = queue_.Expire(now);
  std::ranges::copy(queue_.RemoveDisplaced(now), std::back_inserter(hopeless));
  for (const std::uint64_t number : hopeless) {
    if (auto found = handlers_.extract(number)) {
      found.mapped().on_rejected(kNoSeatInTime);
    }
  }
  for (const std::uint64_t number : queue_.Order(now)) {
    const reservation_request* waiting = queue_.Find(number);
    if (waiting == nullptr || HasVersion(*waiting)) {
      continue;
    }
    queue_.Remove(number);
    if (auto found = handlers_.extract(number)) {
      found.mapped().on_rejected(kNoServerOfVersion);
    }
  }
}

const backend_record* reservation_dispatcher::ChooseEngine(const reservation_request& request,
                                                           instant now) const {
  const std::set<std::string> excluded = {request.excluded_backend};
  return context_.selector.Choose({.service = request.service,
                                   .stage = engine_stage::kDecode,
                                   .software = request.software,
                                   .cost = request.tokens,
                                   .repeatable = true,
                                   .tried = &excluded,
                                   .only_free = true,
                                   .limiter = &context_.limiter,
                                   .calls = kReservedCalls,
                                   .pace = &context_.pace},
                                  now, context_.random());
}

bool reservation_dispatcher::TryNext(instant now) {
  std::set<std::string_view> full_services;
  std::uint64_t number = 0;
  const backend_record* chosen = nullptr;
  for (const std::uint64_t each : queue_.Order(now)) {
    const reservation_request& first = *queue_.Find(each);
    if (full_services.contains(first.service)) {
      continue;
    }
    chosen = ChooseEngine(first, now);
    if (chosen != nullptr) {
      number = each;
      break;
    }
    if (first.excluded_backend.empty() && !first.software) {
      full_services.insert(first.service);
    }
    // Otherwise an engine that it may not use can have memory for the ones behind it.
  }
  if (chosen == nullptr) {
    return false;
  }
  const reservation_request& request = *queue_.Find(number);
  queue_.SetInProgress(number, true);
  // A probe would take two more requests of the limit of an engine, which binds before its memory.
  const double headroom =
      context_.limiter.limited(*chosen)
          ? 0
          : headroom_.RequiredHeadroom(request, EngineTokens(request.service), now);
  StartCall(number, *chosen, request.tokens + headroom, headroom > 0);
  return true;
}

void reservation_dispatcher::StartCall(std::uint64_t number, const backend_record& backend,
                                       double tokens, bool probes) {
  const auto call = std::make_shared<reservation_call>(*this, number, backend, tokens, probes);
  calls_.emplace(call.get(), call);
  context_.selector.OnStarted(backend.id, tokens);
  call->Send();
}

double reservation_dispatcher::EngineTokens(const std::string& service) const {
  const engine_profile* engine = context_.routes.configuration()->FindEngine(service);
  return engine != nullptr ? static_cast<double>(engine->kv_tokens) : 0;
}

void reservation_dispatcher::ReserveAfterProbe(const reservation_call& call,
                                               const std::string& hold) {
  const backend_record& backend = call.backend();
  ReleaseHold(backend, hold, [this, number = call.number(), backend] {
    const reservation_request* request = queue_.Find(number);
    if (request == nullptr) {
      return;
    }
    const instant now = timer_service::now();
    if (AcceptsWork(context_, backend, now) &&
        context_.limiter.MaySend(backend, kReservedCalls, now)) {
      StartCall(number, backend, request->tokens, false);
    } else {
      queue_.SetInProgress(number, false);
      Dispatch();
    }
  });
}

void reservation_dispatcher::OnCallEnded(reservation_call& call, const std::string& hold,
                                         bool answered) {
  const instant now = timer_service::now();
  auto found = calls_.extract(&call);
  if (found.empty()) {
    return;
  }
  const std::string id = call.backend().id;
  context_.metrics.Count("gateway_seats", {{"outcome", !hold.empty() ? "granted"
                                                       : answered    ? "denied"
                                                                     : "no_answer"}});
  if (call.probes() && !hold.empty()) {
    context_.selector.OnEnded(id, call.tokens(), attempt_result::kUnknown, {}, now);
    ReserveAfterProbe(call, hold);
  } else if (!hold.empty() && !AcceptsWork(context_, call.backend(), now)) {
    context_.selector.OnEnded(id, call.tokens(), attempt_result::kUnknown, {}, now);
    ReleaseHold(call.backend(), hold, {});
    queue_.SetInProgress(call.number(), false);
  } else if (hold.empty()) {
    if (!call.probes()) {
      context_.limiter.OnUnsent(call.backend(), kReservedCalls - 1, now);
    }
    context_.selector.OnEnded(
        id, call.tokens(), answered ? attempt_result::kUnknown : attempt_result::kFailed, {}, now);
    context_.selector.SetBusy(id, now + kDenialPause);
    queue_.SetInProgress(call.number(), false);
  } else {
    context_.selector.OnEnded(id, call.tokens(), attempt_result::kUnknown, {}, now);
    decode_reservation reservation{.backend = call.backend(),
                                   .hold = hold,
                                   .tokens = call.tokens(),
                                   .until = now + kReservationLife};
    queue_.OnReserved(call.number(), now);
    if (auto callbacks = handlers_.extract(call.number())) {
      callbacks.mapped().on_reserved(std::move(reservation));
    } else {
      Release(reservation);
    }
  }
  // The call may still be on the stack, so it is destroyed by the event loop.
  context_.loop.Post([kept = found.mapped()] {});
  // With many engines a request is nearly always in progress when a tick occurs, so expired ones
  // are rejected here as well.
  RejectExpired();
  Dispatch();
}

}  // namespace jacinthspool
