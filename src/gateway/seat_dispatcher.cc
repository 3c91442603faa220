#include "src/gateway/seat_dispatcher.h"

#include <utility>
#include <vector>

#include "src/gateway/backend_notices.h"
#include "src/gateway/one_way_call.h"
#include "src/telemetry/log.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

/// How often waiting claims are tried again.
constexpr milliseconds kTickPeriod = milliseconds(25);
/// An engine that has denied a seat is not asked again for so long.
constexpr milliseconds kDenialPause = milliseconds(40);
/// How long an engine keeps a seat: a prefill and the way to it fit well.
constexpr milliseconds kSeatLife = milliseconds(1500);
constexpr milliseconds kHoldTimeout = milliseconds(250);
constexpr std::size_t kMaxTries = 8;  ///< Running at once.
/// A hold's reply is a short JSON object.
constexpr std::size_t kMaxHoldBytes = 4U << 10U;

}  // namespace

/// Asks one engine for one seat.
class seat_dispatcher::hold_call : public http1_call_listener {
 public:
  hold_call(seat_dispatcher& owner, std::uint64_t claim, backend_record backend, double tokens,
            bool probes)
      : owner_(owner),
        claim_(claim),
        backend_(std::move(backend)),
        tokens_(tokens),
        probes_(probes) {}

  void Send() {
    gateway_context& context = owner_.context_;
    call_ = context.client.Start(
        {.address = backend_.address,
         .bytes = context.dialect.EncodeHold(backend_.address, backend_.id,
                                             static_cast<std::uint64_t>(tokens_), kSeatLife),
         .connect_timeout = kHoldTimeout,
         .max_body_bytes = kMaxHoldBytes},
        *this);
    timeout_ = context.timers.After(
        kHoldTimeout, [this](instant /*now*/) { OnEnd(call_end::kLost, "no answer in time"); });
  }

  [[nodiscard]] std::uint64_t claim() const { return claim_; }
  [[nodiscard]] const backend_record& backend() const { return backend_; }
  [[nodiscard]] double tokens() const { return tokens_; }
  /// \returns true when it only finds out whether there is room to spare.
  [[nodiscard]] bool probes() const { return probes_; }

  head_verdict OnHead(const http1_head& head) override {
    status_ = head.status;
    TakeNotice(owner_.context_, backend_, head, "");
    return head_verdict::kTake;
  }
  void OnBody(std::string_view bytes) override { body_ += bytes; }
  void OnEnd(call_end end, const std::string& /*reason*/) override {
    timeout_.Cancel();
    const bool answered = end == call_end::kWhole;
    std::string hold;
    if (answered && status_ == http_status::kOk) {
      hold = owner_.context_.dialect.DecodeHold(body_).value_or("");
    }
    owner_.OnHoldEnded(*this, hold, answered);
  }

 private:
  seat_dispatcher& owner_;
  std::uint64_t claim_;
  backend_record backend_;
  double tokens_;
  bool probes_;
  std::unique_ptr<http1_call> call_;
  timer_subscription timeout_;
  int status_ = 0;
  std::string body_;
};

seat_dispatcher::seat_dispatcher(gateway_context& context)
    : context_(context), queue_({}), reserve_({}) {}
seat_dispatcher::~seat_dispatcher() = default;

std::uint64_t seat_dispatcher::Claim(seat_claim claim, handlers told) {
  reserve_.Learn(claim);
  const auto number = queue_.Add(std::move(claim), timer_service::now());
  if (!number) {
    told.on_refused("no seat in time");
    return 0;
  }
  handlers_.emplace(*number, std::move(told));
  Dispatch();
  return *number;
}

void seat_dispatcher::Withdraw(std::uint64_t number) {
  queue_.Remove(number);
  handlers_.erase(number);
}

void seat_dispatcher::Release(const decode_seat& seat) { GiveBack(seat.backend, seat.hold, {}); }

void seat_dispatcher::GiveBack(const backend_record& backend, const std::string& hold,
                               std::function<void()> on_ended) {
  if (context_.selector.backing_off(backend.id, timer_service::now())) {
    // It lapses by itself; its server wants no request now.
    if (on_ended) {
      context_.loop.Post(std::move(on_ended));
    }
    return;
  }
  context_.one_way.Send(
      {.loop = context_.loop,
       .client = context_.client,
       .address = backend.address,
       .bytes = context_.dialect.EncodeHoldRelease(backend.address, hold),
       .on_head = [this,
                   backend](const http1_head& head) { TakeNotice(context_, backend, head, ""); },
       .on_ended = std::move(on_ended)});
}

void seat_dispatcher::OnRoomFreed(const std::string& backend_id) {
  context_.selector.ClearBusy(backend_id);
  if (queue_.size() > 0) {
    Dispatch();
  }
}

void seat_dispatcher::Dispatch() {
  const instant now = timer_service::now();
  while (calls_.size() < kMaxTries && TryNext(now)) {
  }
  if (queue_.size() > 0 && !tick_.active()) {
    tick_ = context_.timers.After(kTickPeriod, [this](instant /*unused*/) { Tick(); });
  }
}

void seat_dispatcher::Tick() {
  tick_ = {};
  GiveUpExpired();
  Dispatch();
}

void seat_dispatcher::GiveUpExpired() {
  for (const std::uint64_t number : queue_.Expire(timer_service::now())) {
    if (auto found = handlers_.extract(number)) {
      found.mapped().on_refused("no seat in time");
    }
  }
}

bool seat_dispatcher::TryNext(instant now) {
  const auto number = queue_.Next(now);
  if (!number) {
    return false;
  }
  const seat_claim& claim = *queue_.Find(*number);
  const backend_record* chosen = context_.selector.Choose({.service = claim.service,
                                                           .stage = engine_stage::kDecode,
                                                           .cost = claim.tokens,
                                                           .repeatable = true,
                                                           .only_free = true},
                                                          now, context_.random());
  if (chosen == nullptr) {
    return false;
  }
  queue_.SetInProgress(*number, true);
  const double beside = reserve_.RequiredHeadroom(claim, EngineTokens(claim.service), now);
  Ask(*number, *chosen, claim.tokens + beside, beside > 0);
  return true;
}

void seat_dispatcher::Ask(std::uint64_t number, const backend_record& backend, double tokens,
                          bool probes) {
  const auto call = std::make_shared<hold_call>(*this, number, backend, tokens, probes);
  calls_.emplace(call.get(), call);
  context_.selector.OnStarted(backend.id, tokens);
  call->Send();
}

double seat_dispatcher::EngineTokens(const std::string& service) const {
  const engine_profile* engine = context_.routes.configuration()->FindEngine(service);
  return engine != nullptr ? static_cast<double>(engine->kv_tokens) : 0;
}

void seat_dispatcher::OnSpareRoom(const hold_call& call, const std::string& hold) {
  const backend_record& backend = call.backend();
  GiveBack(backend, hold, [this, number = call.claim(), backend] {
    const seat_claim* claim = queue_.Find(number);
    if (claim == nullptr) {
      return;
    }
    if (TakesWork(context_, backend, timer_service::now())) {
      Ask(number, backend, claim->tokens, false);
    } else {
      queue_.SetInProgress(number, false);
      Dispatch();
    }
  });
}

void seat_dispatcher::OnHoldEnded(hold_call& call, const std::string& hold, bool answered) {
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
    OnSpareRoom(call, hold);
  } else if (!hold.empty() && !TakesWork(context_, call.backend(), now)) {
    context_.selector.OnEnded(id, call.tokens(), attempt_result::kUnknown, {}, now);
    GiveBack(call.backend(), hold, {});
    queue_.SetInProgress(call.claim(), false);
  } else if (hold.empty()) {
    context_.selector.OnEnded(
        id, call.tokens(), answered ? attempt_result::kUnknown : attempt_result::kFailed, {}, now);
    context_.selector.SetBusy(id, now + kDenialPause);
    queue_.SetInProgress(call.claim(), false);
  } else {
    context_.selector.OnEnded(id, call.tokens(), attempt_result::kUnknown, {}, now);
    decode_seat seat{
        .backend = call.backend(), .hold = hold, .tokens = call.tokens(), .until = now + kSeatLife};
    queue_.OnReserved(call.claim(), now);
    if (auto told = handlers_.extract(call.claim())) {
      told.mapped().on_seat(std::move(seat));
    } else {
      Release(seat);
    }
  }
  // The call may be on the stack below.
  context_.loop.Post([kept = found.mapped()] {});
  // Where there are many engines to ask, a claim is hardly ever seen between two tries by a tick.
  GiveUpExpired();
  Dispatch();
}

}  // namespace jacinthspool
