#include "src/gateway/tenant_payments.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthspool/impl/overloaded.h"
#include "jacinthspool/impl/rendezvous.h"
#include "src/telemetry/log.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

/// Between two messages to each home.
constexpr milliseconds kExchangePeriod = milliseconds(500);
/// After this time no further home is asked.
constexpr milliseconds kMaxAsking = milliseconds(200);
/// Address of the only home while this gateway is alone.
constexpr std::string_view kAlone = "alone";

}  // namespace

tenant_payments::tenant_payments(gateway_context& context, std::string name)
    : context_(context),
      name_(std::move(name)),
      address_(kAlone),
      lender_(address_),
      credit_({.homes = {address_}}),
      exchange_({.loop = context.loop,
                 .timers = context.timers,
                 .client = context.client,
                 .describe = [this] { return Describe(); },
                 .on_contact =
                     [this](const std::string& home) {
                       if (credit_.OnContact(home)) {
                         Log(log_level::kInfo, "credit_home_answers", {{"home", home}});
                         GreetAll();
                       }
                     },
                 .on_no_answer = [this](const std::string& home) { OnNoAnswer(home); }}),
      exchanges_(context.timers.Every(kExchangePeriod, [this](instant now) { Exchange(now); })) {}

tenant_payments::~tenant_payments() = default;

void tenant_payments::SetHomes(const std::string& listen, std::vector<std::string> homes) {
  if (homes.empty()) {
    homes.push_back(listen);
  }
  address_ = listen;
  lender_ = credit_lender(address_);
  credit_ = tenant_credit({.homes = homes, .seed = HashKey(listen)});
  homes_ = std::move(homes);
  std::erase(homes_, address_);
}

credit_member tenant_payments::Describe() const {
  return {.name = name_ + "@" + address_, .gateways = counted_, .homes = credit_.Reached()};
}

void tenant_payments::Pay(request paying, http1_responder answer,
                          std::function<void(http1_responder)> then) {
  const tenant* const payer = context_.tenants.FindByName(paying.caller.tenant);
  if (payer == nullptr || payer->limit.per_second <= 0) {
    then(std::move(answer));
    return;
  }
  const std::uint64_t id = next_id_++;
  answer.OnCallerDisconnected([this, id, name = paying.id] {
    Log(log_level::kInfo, "caller_left_unpaid", {{"request", name}});
    waiting_.erase(id);
  });
  const auto [added, inserted] = waiting_.emplace(
      id, waiting_request{.paying = std::move(paying),
                          .of = {.tenant = payer->name,
                                 .limit = payer->limit,
                                 .version = context_.routes.configuration()->version},
                          .answer = std::move(answer),
                          .then = std::move(then)});
  const waiting_request& held = added->second;
  Apply(id, credit_.Pay(held.of, held.paying.caller.price, timer_service::now()));
}

void tenant_payments::Apply(std::uint64_t id, payment decided) {
  const auto found = waiting_.find(id);
  std::visit(overloaded{[&](const credit_paid& paid) {
                          if (found == waiting_.end()) {
                            return;  // The caller has left.
                          }
                          if (paid.wait > microseconds(0)) {
                            found->second.delay = context_.timers.After(
                                paid.wait, [this, id](instant /*now*/) { Complete(id); });
                          } else {
                            Complete(id);
                          }
                        },
                        [&](const credit_rejected& rejected) {
                          if (found != waiting_.end()) {
                            auto node = waiting_.extract(found);
                            Reject(std::move(node.mapped()), rejected);
                          }
                        },
                        [&](const credit_needed& needed) {
                          if (found != waiting_.end()) {
                            Ask(id, needed);
                          }
                        }},
             decided);
}

void tenant_payments::Ask(std::uint64_t id, const credit_needed& needed) {
  const instant now = timer_service::now();
  if (needed.home == address_) {
    const credit_member self = Describe();
    lender_.OnMember(self, now);
    const credit_answer answer = lender_.Lend(self.name, needed.ask, now);
    Apply(id, credit_.OnAnswer(needed, answer, now));
    return;
  }
  exchange_.Ask(needed.home, needed.ask,
                [this, id, needed](const std::optional<credit_answer>& answer) {
                  const instant at = timer_service::now();
                  const auto found = waiting_.find(id);
                  if (answer) {
                    const payment decided = credit_.OnAnswer(needed, *answer, at);
                    if (found == waiting_.end() && answer->granted) {
                      credit_.Refund(needed.ask.tenant, needed.ask.price, at);
                    }
                    Apply(id, decided);
                  } else if (found != waiting_.end()) {
                    const waiting_request& held = found->second;
                    const double price = held.paying.caller.price;
                    Apply(id, at - held.paying.arrived < kMaxAsking
                                  ? credit_.Pay(held.of, price, at)
                                  : credit_.PayFromOwnShare(held.of, price, at));
                  }
                });
}

void tenant_payments::Complete(std::uint64_t id) {
  auto node = waiting_.extract(id);
  waiting_request& held = node.mapped();
  held.answer.OnCallerDisconnected({});
  context_.metrics.Count("gateway_tenant_paid", {{"tenant", labels_.Of(held.paying.caller.tenant)}},
                         static_cast<std::uint64_t>(held.paying.caller.price));
  held.then(std::move(held.answer));
}

void tenant_payments::Reject(waiting_request rejected, const credit_rejected& why) {
  const caller_identity& caller = rejected.paying.caller;
  constexpr int kStatus = http_status::kTooManyRequests;
  Log(log_level::kWarning, "request_rejected",
      {{"request", rejected.paying.id},
       {"status", kStatus},
       {"why", "beyond the tenant's limit"},
       {"tenant", caller.tenant},
       {"price", caller.price},
       {"per_second", rejected.of.limit.per_second},
       {"decided_by", ToString(why.source)},
       {"age_ms", why.age / milliseconds(1)},
       {"retry_after_ms", why.retry_after / milliseconds(1)},
       {"configuration", rejected.of.version}});
  context_.metrics.Count("gateway_rejected", {{"status", std::to_string(kStatus)}});
  context_.metrics.Count("gateway_tenant_rejected", {{"tenant", labels_.Of(caller.tenant)}});
  std::move(rejected.answer)
      .Reply(kStatus,
             context_.dialect.RejectionHeaders(std::chrono::ceil<milliseconds>(why.retry_after)),
             "beyond the tenant's limit\n");
}

void tenant_payments::Refund(const caller_identity& caller) {
  const tenant* const payer = context_.tenants.FindByName(caller.tenant);
  if (payer != nullptr && payer->limit.per_second > 0) {
    credit_.Refund(caller.tenant, caller.price, timer_service::now());
  }
}

void tenant_payments::Answer(const http1_request& question, http1_responder answer) {
  const auto asked = DecodeQuestion(question.body);
  if (!asked) {
    std::move(answer).Reply(http_status::kBadRequest, {}, "");
    return;
  }
  const instant now = timer_service::now();
  lender_.OnMember(asked->member, now);
  std::vector<credit_answer> answers;
  for (const credit_ask& ask : asked->asks) {
    answers.push_back(lender_.Lend(asked->member.name, ask, now));
  }
  std::move(answer).Reply(http_status::kOk, {{"Content-Type", "application/octet-stream"}},
                          EncodeAnswers(answers));
}

void tenant_payments::OnNoAnswer(const std::string& home) {
  if (credit_.OnNoAnswer(home, timer_service::now())) {
    Log(log_level::kWarning, "credit_home_lost", {{"home", home}});
    GreetAll();
  }
}

bool tenant_payments::UpdateLimited() {
  const auto& configuration = context_.routes.configuration();
  if (configuration != checked_) {
    checked_ = configuration;
    limited_ =
        configuration && configuration->tenants &&
        std::any_of(configuration->tenants->tenants.begin(), configuration->tenants->tenants.end(),
                    [](const tenant& each) { return each.limit.per_second > 0; });
  }
  return limited_;
}

void tenant_payments::GreetAll() {
  lender_.OnMember(Describe(), timer_service::now());
  for (const std::string& home : homes_) {
    exchange_.Greet(home);
  }
}

void tenant_payments::Exchange(instant now) {
  if (!UpdateLimited()) {
    return;
  }
  for (credit_needed& unused : credit_.TakeUnused(now)) {
    if (unused.home == address_) {
      (void)lender_.Lend(Describe().name, unused.ask, now);
    } else {
      exchange_.Ask(unused.home, std::move(unused.ask), [](const auto& /*answer*/) {});
    }
  }
  GreetAll();
}

}  // namespace jacinthspool
