#include "tests/soak/server_standin.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/transport/http_status.h"

namespace jacinthspool::testing {
namespace {

constexpr milliseconds kPlainDuration = milliseconds(20);
constexpr milliseconds kEventInterval = milliseconds(15);
constexpr milliseconds kHandleLifetime = milliseconds(500);
constexpr int kAccepted = 202;

std::string IdOf(const http1_request& request) {
  return std::string(request.head.Find("X-Request-Id").value_or(""));
}

int EventNumber(const http1_request& request) {
  const std::string_view text = request.head.Find("Last-Event-Id").value_or("0");
  int number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

int run_record::Retries() const {
  int retries = 0;
  for (const auto& [id, each] : requests) {
    retries += std::max(0, each.arrivals - 1) + std::max(0, each.accepted_prefills - 1) +
               each.rejected_prefills;
  }
  return retries;
}

http_headers server_standin::ResponseHeaders(const std::string& id) {
  http_headers headers = {{"X-Request-Id", id}, {"X-Server-Stamp", "stamp"}};
  if (rule_.limit()) {
    headers.emplace_back("Server-Limit",
                         limit_text_.empty() ? std::to_string(*rule_.limit()) : limit_text_);
    if (limit_text_.empty()) {
      rule_.OnAnswer(settings_.gateway_of(id), timer_service::now());
    }
  }
  return headers;
}

void server_standin::Pause(microseconds length) {
  resume_ = settings_.timers.After(length, [this](instant /*now*/) {
    for (const auto& send : std::exchange(held_, {})) {
      send();
    }
  });
}

void server_standin::SendWhenAwake(std::function<void()> send) {
  if (paused()) {
    held_.push_back(std::move(send));
  } else {
    send();
  }
}

void server_standin::Reject(const http1_request& request, const std::shared_ptr<any_answer>& answer,
                            int status) {
  SendWhenAwake([this, id = IdOf(request), answer, status] {
    http_headers headers = ResponseHeaders(id);
    headers.emplace_back("X-Not-Run", "1");
    answer->Reply(status, headers, "");
  });
}

void server_standin::SetLimit(std::optional<double> per_second) {
  limit_text_.clear();
  if (per_second) {
    rule_.Name(*per_second, timer_service::now());
  } else {
    rule_.Lift();
  }
}

void server_standin::CheckLimit(const http1_request& request) {
  const std::string gateway = settings_.gateway_of(IdOf(request));
  if (const auto count = rule_.OnArrival(gateway, timer_service::now())) {
    settings_.on_limit_exceeded(settings_.id + " got " + std::to_string(*count) +
                                " requests in 4 s, " + std::to_string(rule_.Allowed()) +
                                " allowed");
  }
}

server_standin::server_standin(const options& settings)
    : settings_(settings),
      server_(http1_server::Listen(
          {.loop = settings.loop,
           .timers = settings.timers,
           .address = "127.0.0.1:0",
           .on_request =
               [this](const http1_request& request, http1_responder answer) {
                 Handle(request, std::make_shared<any_answer>(std::move(answer)));
               }},
          error_)) {}

std::string server_standin::address() const {
  return "127.0.0.1:" + std::to_string(server_->port());
}

void server_standin::Handle(const http1_request& request,
                            const std::shared_ptr<any_answer>& answer) {
  RemoveEndedRuns();
  CheckLimit(request);
  const std::string& target = request.head.target;
  const auto expected = request.head.Find("X-Expect-Instance");
  if (expected && *expected != settings_.id) {
    Reject(request, answer, http_status::kMisdirectedRequest);
  } else if (target == "/v1/hold-take") {
    Reserve(request, answer);
  } else if (request.head.method == "DELETE") {
    const std::string name = target.substr(target.rfind('/') + 1);
    reservations_.erase(name);
    handles_.erase(name);
    settings_.record.kv_handles.erase(name);
    SendWhenAwake([answer] { answer->Reply(http_status::kOk, {}, ""); });
  } else if (target == "/v1/order") {
    if (behaviour_ != behaviour::kSilent) {
      SendWhenAwake([answer] { answer->Reply(kAccepted, {}, ""); });
    }
  } else if (request.head.Find("X-Stage")) {
    Prefill(request, answer);
  } else {
    Run(request, answer);
  }
}

std::uint64_t server_standin::UsedTokens() const {
  std::uint64_t used = 0;
  for (const run& each : runs_) {
    used += each.tokens;
  }
  for (const auto& [name, each] : reservations_) {
    used += each.tokens;
  }
  return used;
}

std::string server_standin::MemoryHolders() {
  RemoveEndedRuns();
  std::string names;
  for (const run& each : runs_) {
    names += " " + each.request + "@" + std::to_string(each.next_event);
  }
  for (const auto& [name, each] : reservations_) {
    names += " " + name;
  }
  return names;
}

bool server_standin::IsRunning(const std::string& request) {
  RemoveEndedRuns();
  return std::any_of(runs_.begin(), runs_.end(),
                     [&](const run& each) { return each.request == request; });
}

void server_standin::Reserve(const http1_request& request,
                             const std::shared_ptr<any_answer>& answer) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const auto tokens = body.value("tokens", std::uint64_t{0});
  if (behaviour_ == behaviour::kFull || UsedTokens() + tokens > kMemoryTokens) {
    SendWhenAwake([answer] { answer->Reply(http_status::kServiceUnavailable, {}, "{}"); });
    return;
  }
  const std::string name = "hold" + std::to_string(++settings_.record.last_name);
  reservations_[name] = {.tokens = tokens,
                         .expiry = settings_.timers.After(
                             milliseconds(body.value("ttlMs", 0)), [this, name](instant /*now*/) {
                               settings_.loop.Post([this, name] { reservations_.erase(name); });
                             })};
  SendWhenAwake([answer, name] {
    answer->Reply(http_status::kOk, {}, nlohmann::json{{"hold", name}}.dump());
  });
}

void server_standin::Prefill(const http1_request& request,
                             const std::shared_ptr<any_answer>& answer) {
  const std::string id = IdOf(request);
  if (behaviour_ != behaviour::kHealthy) {
    ++settings_.record.requests[id].rejected_prefills;
    Reject(request, answer, http_status::kServiceUnavailable);
    return;
  }
  ++settings_.record.requests[id].accepted_prefills;
  SendWhenAwake([this, id, answer] {
    const std::string name = "kv" + std::to_string(++settings_.record.last_name);
    settings_.record.kv_handles.insert(name);
    handles_[name] = settings_.timers.After(kHandleLifetime, [this, name](instant /*now*/) {
      settings_.record.kv_handles.erase(name);
    });
    answer->Reply(http_status::kOk, ResponseHeaders(id),
                  nlohmann::json{{"handle", name}, {"tokens", 1}, {"version", 1}}.dump());
  });
}

void server_standin::Run(const http1_request& request, const std::shared_ptr<any_answer>& answer) {
  const std::string id = IdOf(request);
  last_arrival_ = timer_service::now();
  run_record::entry& seen = settings_.record.requests[id];
  ++seen.arrivals;
  const bool decodes = settings_.kind == role::kDecode;
  const auto source = request.head.Find("X-Kv-Source");
  if (behaviour_ == behaviour::kFull ||
      (source && settings_.record.kv_handles.erase(
                     std::string(source->substr(source->rfind('/') + 1))) == 0)) {
    Reject(request, answer, http_status::kServiceUnavailable);
    return;
  }
  ++seen.runs;
  const std::chrono::duration<double> at = last_arrival_ - settings_.started;
  seen.ran_at += " " + settings_.id + " at " + std::to_string(at.count());
  if (behaviour_ == behaviour::kFailing) {
    SendWhenAwake([this, id, answer] {
      answer->Reply(http_status::kInternalServerError, ResponseHeaders(id), "failed");
    });
    return;
  }
  run& added = runs_.emplace_back(
      run{.request = id, .answer = answer, .next_event = EventNumber(request) + 1});
  if (const auto reserved =
          reservations_.find(std::string(request.head.Find("X-Kv-Hold").value_or("")));
      reserved != reservations_.end()) {
    added.tokens = reserved->second.tokens;
    reservations_.erase(reserved);
  }
  answer->OnCallerDisconnected([&added] { added.ended = true; });
  if (behaviour_ == behaviour::kSilent) {
    return;
  }
  if (decodes) {
    BeginStream(added);
    added.timer = settings_.timers.Every(kEventInterval,
                                         [this, &added](instant /*now*/) { SendEvent(added); });
  } else {
    added.timer = settings_.timers.Every(
        kPlainDuration, [this, &added](instant /*now*/) { SendPlainAnswer(added); });
  }
}

void server_standin::SendPlainAnswer(run& plain) {
  if (!paused() && !std::exchange(plain.ended, true)) {
    plain.answer->Reply(http_status::kOk, ResponseHeaders(plain.request),
                        "answer to " + plain.request);
  }
}

void server_standin::BeginStream(run& streaming) {
  if (!paused() && !std::exchange(streaming.begun, true)) {
    streaming.answer->Begin(http_status::kOk, ResponseHeaders(streaming.request));
  }
}

void server_standin::SendEvent(run& streaming) {
  if (streaming.ended || paused()) {
    return;
  }
  BeginStream(streaming);
  if (streaming.next_event > kEvents) {
    streaming.answer->End();
    streaming.ended = true;
    return;
  }
  streaming.answer->Send("id: " + std::to_string(streaming.next_event++) + "\ndata: token\n\n");
}

void server_standin::RemoveEndedRuns() {
  std::erase_if(runs_, [](const run& each) { return each.ended; });
}

}  // namespace jacinthspool::testing
