#include "bench/experiment/load.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

namespace jacinthspool::bench {
namespace {

constexpr seconds kIdleTimeout(60);
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kSharedPrefixTokens = 512;
constexpr int kHttpOk = 200;

/// \returns A prompt whose prefix is shared by its workspace and whose remainder is unique.
std::string PromptOf(const planned_request& request, std::size_t number) {
  const std::size_t bytes = request.prompt_tokens * kBytesPerToken;
  const std::string prefix = request.team + "/" + std::to_string(request.workspace) + " ";
  const std::string suffix = std::to_string(number) + " ";
  std::string prompt;
  prompt.reserve(bytes + suffix.size());
  const std::size_t prefix_bytes = std::min(bytes / 2, kSharedPrefixTokens * kBytesPerToken);
  while (prompt.size() < prefix_bytes) {
    prompt += prefix;
  }
  while (prompt.size() < bytes) {
    prompt += suffix;
  }
  prompt.resize(bytes);
  return prompt;
}

}  // namespace

struct load_generator::state {
  /// The state of one request in progress.
  struct caller {
    request_result result;
    instant sent_at{};
    std::optional<instant> last_token;
    std::string line;  ///< The line received so far without its end.
    bool saw_done = false;
    std::unique_ptr<http_call> call;
    timer_subscription disconnect_timer;
  };

  explicit state(load_options initial) : options(std::move(initial)), client(options.loop) {}

  void Schedule() {
    if (next == options.plan.size()) {
      return;
    }
    const microseconds delay = options.plan[next].at - (timer_service::now() - started);
    arrival = options.timers.After(std::max(delay, microseconds(0)), [this](instant now) {
      while (next < options.plan.size() && started + options.plan[next].at <= now) {
        SendRequest(next++);
      }
      Schedule();
    });
  }

  void SendRequest(std::size_t number) {
    caller& added = callers[number];
    added.result.plan = options.plan[number];
    added.sent_at = timer_service::now();
    http_callbacks callbacks{
        .on_chunk = [this, number](int status,
                                   std::string_view text) { OnChunk(number, status, text); },
        .on_done = [this, number](const http_response& response) { OnDone(number, response); }};
    added.call = client.Fetch(RequestOf(number), std::move(callbacks));
    if (added.result.plan.disconnects_after) {
      added.disconnect_timer =
          options.timers.After(*added.result.plan.disconnects_after,
                               [this, number](instant) { DisconnectCaller(number); });
    }
  }

  http_request RequestOf(std::size_t number) const {
    const planned_request& plan = options.plan[number];
    http_request request;
    request.address = options.entries[number % options.entries.size()];
    request.method = "POST";
    request.timeout = kIdleTimeout;
    request.headers = {{"Authorization", "Bearer " + plan.team + "-token"},
                       {"Content-Type", "application/json"},
                       {"X-Workspace", "w" + std::to_string(plan.workspace)}};
    if (plan.kind == request_kind::kOrder) {
      request.target = "/booking/" + std::to_string(number);
      request.body = "order";
      return request;
    }
    request.target = "/v1/completions";
    request.body = nlohmann::json{
        {"model", options.model},
        {"prompt", PromptOf(plan, number)},
        {"max_tokens", plan.output_tokens},
        {"stream",
         true}}.dump();
    return request;
  }

  void OnChunk(std::size_t number, int status, std::string_view text) {
    caller& waiting = callers.at(number);
    waiting.result.status = status;
    waiting.line += text;
    std::size_t end = 0;
    while ((end = waiting.line.find('\n')) != std::string::npos) {
      OnLine(waiting, {waiting.line.data(), end});
      waiting.line.erase(0, end + 1);
    }
  }

  static void OnLine(caller& waiting, std::string_view line) {
    constexpr std::string_view kData = "data: ";
    if (!line.starts_with(kData)) {
      return;
    }
    line.remove_prefix(kData.size());
    if (line.starts_with("[DONE]")) {
      waiting.saw_done = true;
      return;
    }
    const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    if (event.is_object() && event.contains("error")) {
      waiting.result.error_type = event["error"].value("type", "error");
    } else if (event.is_object() && event.contains("choices") && !event["choices"].empty() &&
               !event["choices"][0].value("text", "").empty()) {
      OnToken(waiting);
    }
  }

  static void OnToken(caller& waiting) {
    const instant now = timer_service::now();
    request_result& result = waiting.result;
    if (!waiting.last_token) {
      result.first_token = now - waiting.sent_at;
    } else {
      result.longest_gap = std::max(result.longest_gap, now - *waiting.last_token);
      result.mean_gap = (now - waiting.sent_at - result.first_token) / result.tokens;
    }
    waiting.last_token = now;
    ++result.tokens;
  }

  void OnDone(std::size_t number, const http_response& response) {
    caller& ended = callers.at(number);
    request_result& result = ended.result;
    if (response.status != 0) {
      result.status = response.status;
    }
    for (const auto& [name, value] : response.headers) {
      if (name == "Retry-After") {
        result.retry_after_s = std::strtod(value.c_str(), nullptr);
      }
    }
    const bool succeeded = response.error.empty() && result.status == kHttpOk;
    if (result.plan.kind == request_kind::kOrder) {
      result.first_token = timer_service::now() - ended.sent_at;
      result.whole = succeeded;
    } else {
      result.whole = succeeded && ended.saw_done && result.error_type.empty() &&
                     result.tokens == result.plan.output_tokens;
    }
    if (result.status != kHttpOk) {
      const nlohmann::json body = nlohmann::json::parse(ended.line + response.body, nullptr, false);
      if (body.is_object() && body.contains("error")) {
        result.error_type = body["error"].value("type", "error");
      }
    }
    Finish(number);
  }

  void DisconnectCaller(std::size_t number) {
    caller& disconnected = callers.at(number);
    disconnected.result.left = true;
    disconnected.call->Cancel();
    Finish(number);
  }

  void Finish(std::size_t number) {
    options.on_result(callers.at(number).result);
    ++finished;
    options.loop.Post([this, number] { callers.erase(number); });
  }

  load_options options;
  http_client client;
  instant started = timer_service::now();
  timer_subscription arrival;
  std::map<std::size_t, caller> callers;
  std::size_t next = 0;
  std::size_t finished = 0;
};

load_generator::load_generator(load_options options)
    : state_(std::make_unique<state>(std::move(options))) {
  state_->Schedule();
}

load_generator::~load_generator() = default;

bool load_generator::done() const { return state_->finished == state_->options.plan.size(); }

}  // namespace jacinthspool::bench
