#include "src/agent/engine_client.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "src/agent/json_fields.h"

namespace jacinthspool {
namespace {

constexpr microseconds kLoadInterval = milliseconds(500);
constexpr microseconds kListInterval = seconds(1);
constexpr microseconds kControlTimeout = seconds(2);
/// No completion takes longer.
constexpr microseconds kLongestStream = std::chrono::hours(1);
/// The engine may still list a request for this long after the request or its KV cache has ended.
constexpr microseconds kListLag = seconds(1);
constexpr std::uint32_t kFailuresUntilDown = 2;

constexpr int kOk = 200;
constexpr int kConflict = 409;
/// Statuses with which an engine rejects an order before it starts any work for it.
constexpr std::array<int, 9> kNotRunStatuses = {400, 401, 403, 404, 409, 410, 413, 422, 429};

constexpr std::string_view kTransferParams = "kv_transfer_params";

std::string TargetOf(const nlohmann::json& body) {
  return body.contains("messages") ? "/v1/chat/completions" : "/v1/completions";
}

/// \returns How far an order got that ended without a complete answer.
run_state RunStateOf(const http_response& response, bool streamed) {
  if (streamed) {
    return run_state::kRunning;
  }
  const bool rejected_before_run = std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                                             response.status) != kNotRunStatuses.end();
  return response.never_sent || rejected_before_run ? run_state::kNotRun : run_state::kUnknown;
}

std::string DetailOf(const http_response& response) {
  if (!response.error.empty()) {
    return response.error;
  }
  return "the engine answered " + std::to_string(response.status);
}

}  // namespace

engine_client::engine_client(backend_options options) : options_(std::move(options)) {
  load_timer_ = options_.timers.Every(kLoadInterval, [this](instant) { PollLoad(); });
  list_timer_ = options_.timers.Every(kListInterval, [this](instant) { ListRequests(); });
  PollLoad();
  ListRequests();
}

http_request engine_client::Order(const std::string& request, std::string target,
                                  const nlohmann::json& body, std::uint8_t priority) const {
  http_headers headers = OrderHeaders(options_, request, priority);
  headers.emplace_back("Content-Type", "application/json");
  return {.address = options_.address,
          .method = "POST",
          .target = std::move(target),
          .headers = std::move(headers),
          .body = Dump(body),
          .timeout = options_.timeout};
}

void engine_client::Send(attempt_id id, std::uint8_t priority, const nlohmann::json& body,
                         http_callbacks callbacks) {
  const std::string request = NameOf(id);
  listable_until_[request] = instant::max();
  http_request order = Order(request, TargetOf(body), body, priority);
  order.time_limit = kLongestStream;
  orders_[id].call = options_.client.Fetch(std::move(order), std::move(callbacks));
}

void engine_client::Prefill(const order_prefill& order) {
  nlohmann::json body = ParseJson(order.engine_request);
  if (!body.is_object()) {
    PostFailure(order.id, "the request is no JSON object");
    return;
  }
  body["max_tokens"] = 1;
  body["stream"] = false;
  body.erase("stream_options");
  body[kTransferParams] = {{"do_remote_decode", true}};
  Send(order.id, order.priority, body,
       {.on_done = [this, id = order.id](const http_response& response) {
         OnPrefillReply(id, response);
       }});
}

void engine_client::Decode(const order_decode& order) {
  nlohmann::json body = ParseJson(order.engine_request);
  nlohmann::json params = ParseJson(order.kv.params);
  if (!body.is_object() || !params.is_object()) {
    PostFailure(order.id, "the request or its KV cache's parameters are no JSON object");
    return;
  }
  params["do_remote_prefill"] = true;
  body["stream"] = true;
  body["stream_options"] = {{"include_usage", true}};
  body[kTransferParams] = std::move(params);
  body["kv_transfer_timeout_ms"] =
      std::chrono::duration_cast<milliseconds>(order.transfer_timeout).count();
  Send(order.id, order.priority, body,
       {.on_chunk = [this, id = order.id](
                        int status, std::string_view bytes) { OnDecodeChunk(id, status, bytes); },
        .on_done =
            [this, id = order.id](const http_response& response) { OnDecodeReply(id, response); }});
}

void engine_client::Call(const order_call& order) {
  PostFailure(order.id, "a model engine takes no calls");
}

void engine_client::Release(const order_release& order) {
  const attempt_id id = order.id;
  orders_.erase(id);
  if (aborts_.contains(id)) {
    return;
  }
  const std::string request = NameOf(id);
  http_request abort = Order(request, "/abort", {{"request_id", request}});
  abort.timeout = kControlTimeout;
  aborts_[id] = options_.client.Fetch(
      std::move(abort),
      {.on_done = [this, id](const http_response& response) { OnAbortReply(id, response); }});
}

void engine_client::OnAbortReply(attempt_id id, const http_response& response) {
  aborts_.erase(id);
  CheckFencing(response.status);
  const nlohmann::json answer = ParseJson(response.body);
  const bool confirmed = response.status == kOk && answer.is_object() &&
                         answer.contains("held_pieces") && answer["held_pieces"] == 0;
  // After a 409 another agent controls the engine, and that agent aborts requests it did not order.
  if (confirmed || response.status == kConflict) {
    listable_until_.erase(NameOf(id));
    options_.on_event(engine_released{.id = id});
  }
}

void engine_client::OnPrefillReply(attempt_id id, const http_response& response) {
  CheckReachability(response);
  const nlohmann::json answer = ParseJson(response.body);
  const nlohmann::json& params = MemberOf(answer, std::string(kTransferParams));
  if (response.status != kOk || !params.is_object()) {
    Fail(id, RunStateOf(response, false), DetailOf(response));
    return;
  }
  orders_.erase(id);
  const nlohmann::json& usage = MemberOf(answer, "usage");
  engine_prefilled done{.id = id};
  done.kv.params = Dump(params);
  done.kv.bytes = CountOf(params, "bytes");
  done.kv.expires_in = milliseconds(SmallCountOf(params, "expires_ms"));
  done.prompt_tokens = SmallCountOf(usage, "prompt_tokens");
  done.cached_tokens = SmallCountOf(MemberOf(usage, "prompt_tokens_details"), "cached_tokens");
  listable_until_[NameOf(id)] = timer_service::now() + done.kv.expires_in + kListLag;
  options_.on_event(std::move(done));
}

void engine_client::OnDecodeChunk(attempt_id id, int status, std::string_view bytes) {
  const auto position = orders_.find(id);
  if (position == orders_.end() || status != kOk || position->second.end_reported) {
    return;
  }
  position->second.streamed = true;
  for (std::string& text : position->second.answer.Read(bytes)) {
    options_.on_event(engine_piece{.id = id, .text = std::move(text)});
    if (!orders_.contains(id)) {
      return;
    }
  }
  order_state& order = orders_.at(id);
  if (!order.answer.error().empty()) {
    Fail(id, run_state::kRunning, order.answer.error());
    return;
  }
  if (order.answer.complete()) {
    order.end_reported = true;
    ReportDecodeFinished(id, order);
  }
}

void engine_client::ReportDecodeFinished(attempt_id id, const order_state& order) {
  listable_until_[NameOf(id)] = timer_service::now() + kListLag;
  options_.on_event(engine_finished{.id = id,
                                    .finish_reason = order.answer.finish_reason(),
                                    .prompt_tokens = order.answer.prompt_tokens(),
                                    .completion_tokens = order.answer.completion_tokens()});
}

void engine_client::OnDecodeReply(attempt_id id, const http_response& response) {
  CheckReachability(response);
  const auto position = orders_.find(id);
  if (position == orders_.end()) {
    return;
  }
  if (position->second.end_reported) {
    orders_.erase(position);
    return;
  }
  Fail(id, RunStateOf(response, position->second.streamed),
       response.status == kOk ? "the answer ended before its proper end" : DetailOf(response));
}

void engine_client::Fail(attempt_id id, run_state ran, std::string detail) {
  orders_.erase(id);
  options_.on_event(engine_failed{.id = id, .ran = ran, .detail = std::move(detail)});
}

void engine_client::PostFailure(attempt_id id, const std::string& detail) {
  options_.loop.Post([this, id, detail] { Fail(id, run_state::kNotRun, detail); });
}

void engine_client::PollLoad() {
  if (load_call_ != nullptr) {
    return;
  }
  load_call_ = options_.client.Fetch(
      {.address = options_.address, .target = "/load", .timeout = kControlTimeout},
      {.on_done = [this](const http_response& response) { OnLoadReply(response); }});
}

void engine_client::OnLoadReply(const http_response& response) {
  load_call_.reset();
  if (response.status == kOk) {
    failures_ = 0;
    pieces_held_ = SmallCountOf(ParseJson(response.body), "pieces_held");
    SetReachable(true);
    return;
  }
  ++failures_;
  if (response.never_sent || failures_ >= kFailuresUntilDown) {
    SetReachable(false);
  }
}

void engine_client::ListRequests() {
  if (list_call_ != nullptr) {
    return;
  }
  const instant now = timer_service::now();
  std::erase_if(listable_until_, [now](const auto& entry) { return entry.second <= now; });
  list_call_ = options_.client.Fetch(
      {.address = options_.address, .target = "/requests", .timeout = kControlTimeout},
      {.on_done = [this](const http_response& response) { OnListReply(response); }});
}

void engine_client::OnListReply(const http_response& response) {
  list_call_.reset();
  const nlohmann::json answer = ParseJson(response.body);
  const nlohmann::json& requests = MemberOf(answer, "requests");
  if (response.status != kOk || !requests.is_array()) {
    return;
  }
  bool clean = true;
  for (const nlohmann::json& entry : requests) {
    const std::string request = TextOf(entry, "request_id");
    if (!request.empty() && !listable_until_.contains(request)) {
      clean = false;
      AbortOrphan(request);
    }
  }
  clean_ = clean_ || clean;
  ReportBackend();
}

void engine_client::AbortOrphan(const std::string& request) {
  if (orphan_aborts_.contains(request)) {
    return;
  }
  http_request abort = Order(request, "/abort", {{"request_id", request}});
  abort.timeout = kControlTimeout;
  orphan_aborts_[request] = options_.client.Fetch(
      std::move(abort), {.on_done = [this, request](const http_response& response) {
        CheckFencing(response.status);
        orphan_aborts_.erase(request);
        if (!clean_ && orphan_aborts_.empty()) {
          ListRequests();
        }
      }});
}

void engine_client::SetReachable(bool reachable) {
  reachable_ = reachable;
  if (!reachable) {
    clean_ = false;
  }
  ReportBackend();
}

void engine_client::ReportBackend() {
  options_.on_event(backend_report{.up = reachable_ && clean_, .pieces_held = pieces_held_});
}

void engine_client::CheckReachability(const http_response& response) {
  CheckFencing(response.status);
  if (response.never_sent) {
    SetReachable(false);
  } else if (response.status == 0) {
    PollLoad();
  }
}

void engine_client::CheckFencing(int status) const {
  if (status == kConflict) {
    options_.on_superseded();
  }
}

}  // namespace jacinthspool
