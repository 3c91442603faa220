#include "src/agent/service_client.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace jacinthspool {
namespace {

constexpr microseconds kHealthInterval = milliseconds(500);
constexpr microseconds kHealthTimeout = seconds(2);
/// Of a call without a deadline.
constexpr microseconds kLongestCall = std::chrono::minutes(10);
/// The answer is sent to the entry in one message.
constexpr std::size_t kMaxAnswerBytes = 8U << 20U;

/// Headers of one connection or of the message framing, in lower case; they are not forwarded.
constexpr std::array<std::string_view, 8> kConnectionHeaders = {
    "connection", "keep-alive", "transfer-encoding", "content-length",
    "host",       "te",         "upgrade",           "proxy-connection"};

char Lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool IsConnectionHeader(const std::string& name) {
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(), Lower);
  return std::find(kConnectionHeaders.begin(), kConnectionHeaders.end(), lower) !=
         kConnectionHeaders.end();
}

}  // namespace

service_client::service_client(backend_options options) : options_(std::move(options)) {
  health_timer_ = options_.timers.Every(kHealthInterval, [this](instant) { PollHealth(); });
  PollHealth();
}

void service_client::Prefill(const order_prefill& order) {
  PostEvent(engine_failed{
      .id = order.id, .ran = run_state::kNotRun, .detail = "a plain service computes no prompts"});
}

void service_client::Decode(const order_decode& order) {
  PostEvent(engine_failed{
      .id = order.id, .ran = run_state::kNotRun, .detail = "a plain service generates no tokens"});
}

void service_client::Call(const order_call& order) {
  http_headers headers = OrderHeaders(options_, NameOf(order.id), order.priority);
  for (const auto& field : order.call.headers) {
    if (field != nullptr && !IsConnectionHeader(field->name)) {
      headers.emplace_back(field->name, field->value);
    }
  }
  const bool limited = order.deadline_in > microseconds::zero();
  const microseconds silence = std::max(order.deadline_in, options_.timeout);
  http_request request{.address = options_.address,
                       .method = order.call.method,
                       .target = order.call.target,
                       .headers = std::move(headers),
                       .body = std::string(order.call.body.begin(), order.call.body.end()),
                       .timeout = silence,
                       .time_limit = limited ? silence : kLongestCall,
                       .max_body_bytes = kMaxAnswerBytes};
  calls_[order.id] = options_.client.Fetch(
      std::move(request), {.on_done = [this, id = order.id](http_response response) {
        OnAnswer(id, std::move(response));
      }});
}

void service_client::Release(const order_release& order) {
  calls_.erase(order.id);
  PostEvent(engine_released{.id = order.id});
}

void service_client::OnAnswer(attempt_id id, http_response response) {
  calls_.erase(id);
  if (response.status == 0) {
    const run_state ran = response.never_sent ? run_state::kNotRun : run_state::kUnknown;
    if (response.never_sent) {
      options_.on_event(backend_report{.up = false});
    }
    options_.on_event(engine_failed{.id = id, .ran = ran, .detail = response.error});
    return;
  }
  service_answered answer{.id = id, .status = static_cast<std::uint16_t>(response.status)};
  for (const auto& [name, value] : response.headers) {
    if (!IsConnectionHeader(name)) {
      header_field field;
      field.name = name;
      field.value = value;
      answer.headers.push_back(std::move(field));
    }
  }
  answer.body.assign(response.body.begin(), response.body.end());
  options_.on_event(std::move(answer));
}

void service_client::PostEvent(agent_event event) {
  options_.loop.Post([this, event = std::move(event)] { options_.on_event(event); });
}

void service_client::PollHealth() {
  if (health_call_ != nullptr) {
    return;
  }
  health_call_ = options_.client.Fetch(
      {.address = options_.address, .target = "/health", .timeout = kHealthTimeout},
      {.on_done = [this](const http_response& response) { OnHealthReply(response); }});
}

void service_client::OnHealthReply(const http_response& response) {
  health_call_.reset();
  // Any answer shows that the service is up: not every service implements /health.
  options_.on_event(backend_report{.up = response.status != 0});
}

}  // namespace jacinthspool
