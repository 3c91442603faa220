#include "tests/soak/server_standin.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/transport/http_status.h"

namespace jacinthspool::testing {
namespace {

constexpr milliseconds kPlainWork = milliseconds(20);
constexpr milliseconds kEventTime = milliseconds(15);
constexpr milliseconds kHandleLife = milliseconds(500);

http_headers Genuine(const http1_request& request) {
  return {{"X-Request-Id", std::string(request.head.Find("X-Request-Id").value_or(""))},
          {"X-Server-Stamp", "stamp"}};
}

void Refuse(const http1_request& request, http1_answer& answer, int status) {
  http_headers headers = Genuine(request);
  headers.emplace_back("X-Not-Run", "1");
  answer.Reply(status, headers, "");
}

int EventNumber(const http1_request& request) {
  const std::string_view text = request.head.Find("Last-Event-Id").value_or("0");
  int number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

int run_ledger::Repeats() const {
  int repeats = 0;
  for (const auto& [id, each] : requests) {
    repeats += std::max(0, each.arrivals - 1) + std::max(0, each.accepted_prefills - 1) +
               each.refused_prefills;
  }
  return repeats;
}

server_standin::server_standin(const options& settings)
    : settings_(settings),
      server_(http1_server::Listen(
          {.loop = settings.loop,
           .timers = settings.timers,
           .address = "127.0.0.1:0",
           .on_request =
               [this](const http1_request& request, const std::shared_ptr<http1_answer>& answer) {
                 Take(request, answer);
               }},
          error_)) {}

std::string server_standin::address() const {
  return "127.0.0.1:" + std::to_string(server_->port());
}

void server_standin::Take(const http1_request& request,
                          const std::shared_ptr<http1_answer>& answer) {
  Sweep();
  const std::string& target = request.head.target;
  const auto expected = request.head.Find("X-Expect-Instance");
  if (expected && *expected != settings_.id) {
    Refuse(request, *answer, http_status::kMisdirectedRequest);
  } else if (target == "/v1/hold-take") {
    TakeHold(request, *answer);
  } else if (request.head.method == "DELETE") {
    const std::string name = target.substr(target.rfind('/') + 1);
    holds_.erase(name);
    handles_.erase(name);
    settings_.ledger.kv_handles.erase(name);
    answer->Reply(http_status::kOk, {}, "");
  } else if (request.head.Find("X-Stage")) {
    Prefill(request, *answer);
  } else {
    Run(request, answer);
  }
}

std::uint64_t server_standin::Used() const {
  std::uint64_t used = 0;
  for (const run& each : runs_) {
    used += each.tokens;
  }
  for (const auto& [name, each] : holds_) {
    used += each.tokens;
  }
  return used;
}

std::string server_standin::Occupants() {
  Sweep();
  std::string names;
  for (const run& each : runs_) {
    names += " " + each.request + "@" + std::to_string(each.next_event);
  }
  for (const auto& [name, each] : holds_) {
    names += " " + name;
  }
  return names;
}

bool server_standin::Runs(const std::string& request) {
  Sweep();
  return std::any_of(runs_.begin(), runs_.end(),
                     [&](const run& each) { return each.request == request; });
}

void server_standin::TakeHold(const http1_request& request, http1_answer& answer) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  const auto tokens = body.value("tokens", std::uint64_t{0});
  if (conduct_ == conduct::kFull || Used() + tokens > kMemoryTokens) {
    answer.Reply(http_status::kServiceUnavailable, {}, "{}");
    return;
  }
  const std::string name = "hold" + std::to_string(++settings_.ledger.last_name);
  holds_[name] = {.tokens = tokens,
                  .life = settings_.timers.After(
                      milliseconds(body.value("ttlMs", 0)), [this, name](instant /*now*/) {
                        settings_.loop.Post([this, name] { holds_.erase(name); });
                      })};
  answer.Reply(http_status::kOk, {}, nlohmann::json{{"hold", name}}.dump());
}

void server_standin::Prefill(const http1_request& request, http1_answer& answer) {
  const std::string id(request.head.Find("X-Request-Id").value_or(""));
  if (conduct_ != conduct::kGood) {
    ++settings_.ledger.requests[id].refused_prefills;
    Refuse(request, answer, http_status::kServiceUnavailable);
    return;
  }
  ++settings_.ledger.requests[id].accepted_prefills;
  const std::string name = "kv" + std::to_string(++settings_.ledger.last_name);
  settings_.ledger.kv_handles.insert(name);
  handles_[name] = settings_.timers.After(
      kHandleLife, [this, name](instant /*now*/) { settings_.ledger.kv_handles.erase(name); });
  answer.Reply(http_status::kOk, Genuine(request),
               nlohmann::json{{"handle", name}, {"tokens", 1}, {"version", 1}}.dump());
}

void server_standin::Run(const http1_request& request,
                         const std::shared_ptr<http1_answer>& answer) {
  const std::string id(request.head.Find("X-Request-Id").value_or(""));
  last_arrival_ = timer_service::now();
  run_ledger::entry& seen = settings_.ledger.requests[id];
  ++seen.arrivals;
  const bool decodes = settings_.kind == role::kDecode;
  const auto source = request.head.Find("X-Kv-Source");
  if (conduct_ == conduct::kFull || (source && settings_.ledger.kv_handles.erase(std::string(
                                                   source->substr(source->rfind('/') + 1))) == 0)) {
    Refuse(request, *answer, http_status::kServiceUnavailable);
    return;
  }
  ++seen.runs;
  if (conduct_ == conduct::kFailing) {
    answer->Reply(http_status::kInternalServerError, Genuine(request), "failed");
    return;
  }
  run& added = runs_.emplace_back(run{.request = id,
                                      .headers = Genuine(request),
                                      .answer = answer,
                                      .next_event = EventNumber(request) + 1});
  if (const auto held = holds_.find(std::string(request.head.Find("X-Kv-Hold").value_or("")));
      held != holds_.end()) {
    added.tokens = held->second.tokens;
    holds_.erase(held);
  }
  answer->OnCallerGone([&added] { added.gone = true; });
  if (conduct_ == conduct::kSilent) {
    return;
  }
  if (decodes) {
    answer->Begin(http_status::kOk, added.headers);
    added.timer =
        settings_.timers.Every(kEventTime, [this, &added](instant /*now*/) { SendEvent(added); });
  } else {
    added.timer = settings_.timers.After(kPlainWork, [&added](instant /*now*/) {
      if (!added.gone) {
        added.answer->Reply(http_status::kOk, added.headers, "answer to " + added.request);
      }
      added.gone = true;
    });
  }
}

void server_standin::SendEvent(run& streaming) {
  if (streaming.gone) {
    return;
  }
  if (streaming.next_event > kEvents) {
    streaming.answer->End();
    streaming.gone = true;
    return;
  }
  streaming.answer->Send("id: " + std::to_string(streaming.next_event++) + "\ndata: token\n\n");
}

void server_standin::Sweep() {
  std::erase_if(runs_, [](const run& each) { return each.gone; });
}

}  // namespace jacinthspool::testing
