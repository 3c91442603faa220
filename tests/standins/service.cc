#include "tests/standins/service.h"

#include <unistd.h>

#include <utility>

#include "tests/standins/engine_options.h"

namespace jacinthspool::standins {
namespace {

constexpr int kCrashExitCode = 9;

}  // namespace

service::service(standin_context context, service_options options)
    : context_(context), options_(std::move(options)), fencing_(options_.check_fencing) {}

void service::Handle(const exchange_ptr& exchange) {
  const std::string& path = exchange->path();
  if (path == "/health") {
    ReplyJson(*exchange, 200, {{"name", options_.name}});
  } else if (path == "/executions") {
    ReplyJson(*exchange, 200,
              {{"total", total_}, {"by_key", by_key_}, {"by_request", by_request_}});
  } else if (path == "/standin/faults") {
    UpdateFaults(*exchange, faults_);
    stalled_.clear();
  } else if (faults_.refuse != 0) {
    ReplyError(*exchange, faults_.refuse, "refused");
  } else if (fencing_.Admit(*exchange)) {
    Execute(exchange);
  }
}

void service::Execute(const exchange_ptr& exchange) {
  const std::string key = exchange->header("Idempotency-Key");
  ++total_;
  ++by_request_[exchange->header("X-Request-Id")];
  if (!key.empty()) {
    ++by_key_[key];
  }
  if (faults_.die_after_executing) {
    _exit(kCrashExitCode);
  }
  const nlohmann::json answer = {{"execution", total_},
                                 {"service", options_.name},
                                 {"method", exchange->method()},
                                 {"target", exchange->target()},
                                 {"body", exchange->body()}};
  if (faults_.slow_ms == 0) {
    Answer(exchange, answer);
    return;
  }
  delayed_.remove_if([](const timer_subscription& each) { return !each.active(); });
  delayed_.push_back(PostAfter(context_, milliseconds(faults_.slow_ms),
                               [this, exchange, answer] { Answer(exchange, answer); }));
}

void service::Answer(const exchange_ptr& exchange, const nlohmann::json& answer) {
  if (ConsumeFault(faults_.drop_after_executing)) {
    exchange->StartStream(200, {});
    exchange->AbortStream();
  } else if (ConsumeFault(faults_.stall_after_executing)) {
    stalled_.push_back(exchange);
  } else {
    ReplyJson(*exchange, 200, answer);
  }
}

}  // namespace jacinthspool::standins
