#include "tests/standins/engine.h"

#include <unistd.h>

#include <utility>

namespace jacinthspool::standins {
namespace {

constexpr std::string_view kKvPath = "/kv/";
constexpr int kDeathCode = 9;

}  // namespace

engine::engine(surroundings around, engine_options options)
    : around_(around),
      parts_(std::move(options)),
      fencing_(parts_.options.check_fencing),
      prefills_(around, parts_),
      decodes_(around, parts_) {
  report_timer_ = around_.timers.Every(parts_.options.Scaled(parts_.options.load_lag),
                                       [this](instant /*now*/) { reported_ = Load(); });
}

void engine::Handle(const exchange_ptr& exchange) {
  const std::string& path = exchange->path();
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    HandleOrder(exchange);
  } else if (path == "/abort") {
    Abort(exchange);
  } else if (path == "/requests") {
    ListRequests(exchange);
  } else if (path == "/load") {
    ReportLoad(exchange);
  } else if (path == "/health") {
    ReplyJson(*exchange, 200, {{"name", parts_.options.name}});
  } else if (path.starts_with(kKvPath)) {
    prefills_.ReadKv(path.substr(kKvPath.size()), exchange);
  } else if (path == "/standin/faults") {
    ChangeFaults(exchange);
  } else if (path == "/standin/counters") {
    ReplyJson(*exchange, 200, parts_.counters);
  } else {
    ReplyError(*exchange, 404, "unknown path");
  }
}

void engine::HandleOrder(const exchange_ptr& exchange) {
  if (parts_.faults.refuse != 0) {
    ReplyError(*exchange, parts_.faults.refuse, "refused");
    return;
  }
  if (parts_.faults.slow_ms == 0) {
    Admit(exchange);
    return;
  }
  delayed_.push_back({.request = exchange->header("X-Request-Id"), .exchange = exchange});
  const auto added = std::prev(delayed_.end());
  added->timer = PostAfter(around_, milliseconds(parts_.faults.slow_ms), [this, exchange] {
    const auto removed = std::erase_if(
        delayed_, [&](const delayed_order& each) { return each.exchange == exchange; });
    if (removed > 0) {
      Admit(exchange);
    }
  });
}

void engine::Admit(const exchange_ptr& exchange) {
  if (!fencing_.Admit(*exchange)) {
    ++parts_.counters.refused_by_fencing;
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
    ++parts_.counters.refused_by_fencing;
    return;
  }
  const std::string request = BodyOf(*exchange).value("request_id", "");
  ++parts_.counters.aborts;
  if (!TakeOne(parts_.faults.ignore_cancels)) {
    std::erase_if(delayed_, [&](const delayed_order& each) { return each.request == request; });
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
          .pieces_held = parts_.memory.held()};
}

void engine::ReportLoad(const exchange_ptr& exchange) const {
  ReplyJson(*exchange, 200,
            {{"running", reported_.running},
             {"waiting", reported_.waiting},
             {"pieces_held", reported_.pieces_held},
             {"pieces_total", parts_.memory.total()}});
}

void engine::ChangeFaults(const exchange_ptr& exchange) {
  SwitchFaults(*exchange, parts_.faults);
  if (parts_.faults.die) {
    _exit(kDeathCode);
  }
  prefills_.Next();
  decodes_.Resume();
}

}  // namespace jacinthspool::standins
