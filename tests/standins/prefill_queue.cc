#include "tests/standins/prefill_queue.h"

#include <algorithm>
#include <utility>

#include "tests/standins/expected_answer.h"

namespace jacinthspool::standins {
namespace {

constexpr milliseconds kStallCheck(10);

}  // namespace

prefill_queue::prefill_queue(standin_context context, engine_state& state)
    : context_(context), state_(state), cache_(state.options.prefix_cache_tokens) {}

void prefill_queue::Admit(const std::string& request, std::uint32_t priority,
                          exchange_ptr exchange) {
  job added{.request = request, .priority = priority};
  added.prompt = PromptOf(BodyOf(*exchange));
  added.tokens = TokensOf(added.prompt);
  added.pieces = state_.options.PiecesFor(added.tokens);
  added.exchange = std::move(exchange);
  if (!state_.memory.Allocate(added.pieces)) {
    ++state_.counters.refused_without_room;
    ReplyError(*added.exchange, 429, "no room for the prompt");
    return;
  }
  const job_id id = ++last_id_;
  if (state_.options.abort_on_disconnect) {
    added.exchange->OnCallerDisconnected([this, request] { Abort(request); });
  }
  jobs_.emplace(id, std::move(added));
  StartNext();
}

void prefill_queue::StartNext() {
  if (running_) {
    return;
  }
  auto best = jobs_.end();
  for (auto at = jobs_.begin(); at != jobs_.end(); ++at) {
    const bool candidate = at->second.state == job_state::kWaiting;
    if (candidate && (best == jobs_.end() || at->second.priority < best->second.priority)) {
      best = at;
    }
  }
  if (best == jobs_.end()) {
    return;
  }
  const job_id id = best->first;
  job& chosen = best->second;
  chosen.state = job_state::kRunning;
  chosen.cached = cache_.LookUpAndInsert(chosen.prompt, kBytesPerToken);
  running_ = id;
  ++state_.counters.prefills;
  state_.counters.prefill_tokens += chosen.tokens - chosen.cached;
  state_.counters.cached_tokens += chosen.cached;
  const double seconds_needed =
      (chosen.tokens - chosen.cached) / state_.options.prefill_tokens_per_s;
  chosen.timer =
      PostAfter(context_, state_.options.ScaledSeconds(seconds_needed), [this, id] { Finish(id); });
}

void prefill_queue::Finish(job_id id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  job& done = found->second;
  if (state_.faults.stall_prefill) {
    done.timer = PostAfter(context_, kStallCheck, [this, id] { Finish(id); });
    return;
  }
  running_.reset();
  done.state = job_state::kRetained;
  const microseconds life = state_.options.Scaled(state_.options.kv_life);
  done.timer = PostAfter(context_, life, [this, id] { Expire(id); });
  const std::string& address = state_.options.kv_address;
  const std::size_t colon = address.rfind(':');
  const nlohmann::json params = {
      {"remote_engine_id", state_.options.name},
      {"remote_host", address.substr(0, colon)},
      {"remote_port", std::atoi(address.c_str() + colon + 1)},
      {"remote_block_ids", {id}},
      {"bytes", static_cast<std::uint64_t>(done.tokens * state_.options.kv_bytes_per_token)},
      {"expires_ms", std::chrono::duration_cast<milliseconds>(life).count()}};
  const nlohmann::json answer = {
      {"id", done.request},
      {"object", "text_completion"},
      {"choices", {{{"index", 0}, {"text", ""}, {"finish_reason", "length"}}}},
      {"usage",
       {{"prompt_tokens", done.tokens},
        {"completion_tokens", 1},
        {"total_tokens", done.tokens + 1},
        {"prompt_tokens_details", {{"cached_tokens", done.cached}}}}},
      {"kv_transfer_params", params}};
  if (!ConsumeFault(state_.faults.drop_prefills)) {
    ReplyJson(*done.exchange, 200, answer);
  }
  context_.loop.Post([this] { StartNext(); });
}

void prefill_queue::Expire(job_id id) {
  const auto found = jobs_.find(id);
  if (found != jobs_.end() && found->second.state == job_state::kRetained) {
    ++state_.counters.kv_expired;
    Drop(id);
  }
}

void prefill_queue::ReadKv(const std::string& id, exchange_ptr exchange) {
  const auto found = jobs_.find(std::strtoull(id.c_str(), nullptr, 10));
  if (found == jobs_.end() || found->second.state != job_state::kRetained) {
    ReplyError(*exchange, 404, "no such KV cache");
    return;
  }
  job& read = found->second;
  read.state = job_state::kBeingRead;
  read.timer.Cancel();
  const job_id key = found->first;
  exchange->OnCallerDisconnected([this, key] { Drop(key); });
  read.exchange = std::move(exchange);
  if (state_.faults.stall_transfer) {
    return;
  }
  const double link_seconds =
      read.tokens * state_.options.kv_bytes_per_token / state_.options.link_bytes_per_s;
  const instant now = timer_service::now();
  link_free_at_ = std::max(link_free_at_, now) + state_.options.ScaledSeconds(link_seconds);
  read.timer = PostAfter(context_, link_free_at_ - now, [this, key] { SendKv(key); });
}

void prefill_queue::SendKv(job_id id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  const job& read = found->second;
  ++state_.counters.kv_read;
  state_.counters.kv_tokens_read += read.tokens;
  ReplyJson(*read.exchange, 200, {{"seed", SeedOf(read.prompt)}, {"prompt_tokens", read.tokens}});
  Drop(id);
}

void prefill_queue::Abort(const std::string& request) {
  for (auto at = jobs_.begin(); at != jobs_.end();) {
    const auto current = at++;
    if (current->second.request != request) {
      continue;
    }
    if (current->second.state != job_state::kRetained) {
      ReplyError(*current->second.exchange, 499, "aborted");
    }
    Drop(current->first);
  }
}

void prefill_queue::Drop(job_id id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  state_.memory.Free(found->second.pieces);
  if (running_ == id) {
    running_.reset();
    context_.loop.Post([this] { StartNext(); });
  }
  jobs_.erase(found);
}

std::uint32_t prefill_queue::PiecesOf(const std::string& request) const {
  std::uint32_t pieces = 0;
  for (const auto& [id, each] : jobs_) {
    pieces += each.request == request ? each.pieces : 0;
  }
  return pieces;
}

void prefill_queue::List(nlohmann::json& requests) const {
  for (const auto& [id, each] : jobs_) {
    requests.push_back({{"request_id", each.request},
                        {"pieces", each.pieces},
                        {"running", each.state == job_state::kRunning}});
  }
}

std::size_t prefill_queue::retained() const {
  return std::count_if(jobs_.begin(), jobs_.end(), [](const auto& each) {
    return each.second.state == job_state::kRetained || each.second.state == job_state::kBeingRead;
  });
}

}  // namespace jacinthspool::standins
