#include "tests/standins/engine.h"

#include <unistd.h>

#include <utility>

namespace jacinthspool::standins {
namespace {

constexpr std::string_view kKvPath = "/kv/";
constexpr int kCrashExitCode = 9;

}  // namespace

engine::engine(standin_context context, engine_options options)
    : context_(context),
      state_(std::move(options)),
      fencing_(state_.options.check_fencing),
      prefills_(context, state_),
      decodes_(context, state_) {
  report_timer_ = context_.timers.Every(state_.options.Scaled(state_.options.load_lag),
                                        [this](instant /*now*/) { reported_ = Load(); });
}

void engine::Handle(const exchange_ptr& exchange) {
  const std::string& path = exchange->path();
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    HandleRequest(exchange);
  } else if (path == "/abort") {
    Abort(exchange);
  } else if (path == "/requests") {
    ListRequests(exchange);
  } else if (path == "/load") {
    ReportLoad(exchange);
  } else if (path == "/health") {
    ReplyJson(*exchange, 200, {{"name", state_.options.name}});
  } else if (path.starts_with(kKvPath)) {
    prefills_.ReadKv(path.substr(kKvPath.size()), exchange);
  } else if (path == "/standin/faults") {
    ChangeFaults(exchange);
  } else if (path == "/standin/counters") {
    ReplyJson(*exchange, 200, state_.counters);
  } else {
    ReplyError(*exchange, 404, "unknown path");
  }
}

void engine::HandleRequest(const exchange_ptr& exchange) {
  if (state_.faults.refuse != 0) {
    ReplyError(*exchange, state_.faults.refuse, "refused");
    return;
  }
  if (state_.faults.slow_ms == 0) {
    Admit(exchange);
    return;
  }
  delayed_.push_back({.request = exchange->header("X-Request-Id"), .exchange = exchange});
  const auto added = std::prev(delayed_.end());
  added->timer = PostAfter(context_, milliseconds(state_.faults.slow_ms), [this, exchange] {
    const auto removed = std::erase_if(
        delayed_, [&](const delayed_request& each) { return each.exchange == exchange; });
    if (removed > 0) {
      Admit(exchange);
    }
  });
}

void engine::Admit(const exchange_ptr& exchange) {
  if (!fencing_.Admit(*exchange)) {
    ++state_.counters.refused_by_fencing;
    return;
  }
  const nlohmann::json body = BodyOf(*exchange);
  const nlohmann::json params = body.value("kv_transfer_params", nlohmann::json::object());
  const std::string request = exchange->header("X-Request-Id");
  const std::string priority_text = exchange->header("X-Priority");
  const auto priority = static_cast<std::uint32_t>(std::atoi(priority_text.c_str()));
  if (request.empty()) {
    ReplyError(*exchange, 400, "no X-Request-Id");
  } else if (prefills_.PiecesOf(request) + decodes_.PiecesOf(request) > 0) {
    ReplyError(*exchange, 400, "this request id is in use");
  } else if (params.value("do_remote_decode", false)) {
    prefills_.Admit(request, priority, exchange);
  } else if (params.value("do_remote_prefill", false)) {
    decodes_.Admit(request, priority, exchange);
  } else {
    ReplyError(*exchange, 400, "no kv_transfer_params");
  }
}

void engine::Abort(const exchange_ptr& exchange) {
  if (!fencing_.Admit(*exchange)) {
    ++state_.counters.refused_by_fencing;
    return;
  }
  const std::string request = BodyOf(*exchange).value("request_id", "");
  ++state_.counters.aborts;
  if (!ConsumeFault(state_.faults.ignore_cancels)) {
    std::erase_if(delayed_, [&](const delayed_request& each) { return each.request == request; });
    prefills_.Abort(request);
    decodes_.Abort(request);
  }
  const std::uint32_t held = prefills_.PiecesOf(request) + decodes_.PiecesOf(request);
  ReplyJson(*exchange, 200, {{"held_pieces", held}});
}

void engine::ListRequests(const exchange_ptr& exchange) {
  nlohmann::json requests = nlohmann::json::array();
  prefills_.List(requests);
  decodes_.List(requests);
  ReplyJson(*exchange, 200, {{"requests", std::move(requests)}});
}

engine::load_report engine::Load() const {
  return {.running = decodes_.running() + (prefills_.running() ? 1 : 0),
          .waiting = decodes_.waiting() + prefills_.waiting(),
          .pieces_held = state_.memory.held()};
}

void engine::ReportLoad(const exchange_ptr& exchange) const {
  ReplyJson(*exchange, 200,
            {{"running", reported_.running},
             {"waiting", reported_.waiting},
             {"pieces_held", reported_.pieces_held},
             {"pieces_total", state_.memory.total()}});
}

void engine::ChangeFaults(const exchange_ptr& exchange) {
  UpdateFaults(*exchange, state_.faults);
  if (state_.faults.die) {
    _exit(kCrashExitCode);
  }
  prefills_.StartNext();
  decodes_.Resume();
}

}  // namespace jacinthspool::standins
