#include "tests/standins/prefill_queue.h"

#include <algorithm>
#include <utility>

#include "tests/standins/expected_answer.h"

namespace jacinthspool::standins {
namespace {

constexpr milliseconds kStallCheck(10);

}  // namespace

prefill_queue::prefill_queue(surroundings around, engine_parts& parts)
    : around_(around), parts_(parts), cache_(parts.options.prefix_cache_tokens) {}

void prefill_queue::Admit(const std::string& request, std::uint32_t priority,
                          exchange_ptr exchange) {
  job added{.request = request, .priority = priority};
  added.prompt = PromptOf(BodyOf(*exchange));
  added.tokens = TokensOf(added.prompt);
  added.pieces = parts_.options.PiecesFor(added.tokens);
  added.exchange = std::move(exchange);
  if (!parts_.memory.Take(added.pieces)) {
    ++parts_.counters.refused_without_room;
    ReplyError(*added.exchange, 429, "no room for the prompt");
    return;
  }
  const job_id id = ++last_id_;
  if (parts_.options.abort_on_disconnect) {
    added.exchange->OnCallerGone([this, request] { Abort(request); });
  }
  jobs_.emplace(id, std::move(added));
  Next();
}

void prefill_queue::Next() {
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
  chosen.cached = cache_.Use(chosen.prompt, kBytesPerToken);
  running_ = id;
  ++parts_.counters.prefills;
  parts_.counters.prefill_tokens += chosen.tokens - chosen.cached;
  parts_.counters.cached_tokens += chosen.cached;
  const double seconds_needed =
      (chosen.tokens - chosen.cached) / parts_.options.prefill_tokens_per_s;
  chosen.timer =
      PostAfter(around_, parts_.options.ScaledSeconds(seconds_needed), [this, id] { Finish(id); });
}

void prefill_queue::Finish(job_id id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  job& done = found->second;
  if (parts_.faults.stall_prefill) {
    done.timer = PostAfter(around_, kStallCheck, [this, id] { Finish(id); });
    return;
  }
  running_.reset();
  done.state = job_state::kKept;
  const microseconds life = parts_.options.Scaled(parts_.options.kv_life);
  done.timer = PostAfter(around_, life, [this, id] { Expire(id); });
  const std::string& address = parts_.options.kv_address;
  const std::size_t colon = address.rfind(':');
  const nlohmann::json params = {
      {"remote_engine_id", parts_.options.name},
      {"remote_host", address.substr(0, colon)},
      {"remote_port", std::atoi(address.c_str() + colon + 1)},
      {"remote_block_ids", {id}},
      {"bytes", static_cast<std::uint64_t>(done.tokens * parts_.options.kv_bytes_per_token)},
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
  if (!TakeOne(parts_.faults.drop_prefills)) {
    ReplyJson(*done.exchange, 200, answer);
  }
  around_.loop.Post([this] { Next(); });
}

void prefill_queue::Expire(job_id id) {
  const auto found = jobs_.find(id);
  if (found != jobs_.end() && found->second.state == job_state::kKept) {
    ++parts_.counters.kv_expired;
    Drop(id);
  }
}

void prefill_queue::ReadKv(const std::string& id, exchange_ptr exchange) {
  const auto found = jobs_.find(std::strtoull(id.c_str(), nullptr, 10));
  if (found == jobs_.end() || found->second.state != job_state::kKept) {
    ReplyError(*exchange, 404, "no such KV cache");
    return;
  }
  job& read = found->second;
  read.state = job_state::kBeingRead;
  read.timer.Cancel();
  const job_id key = found->first;
  exchange->OnCallerGone([this, key] { Drop(key); });
  read.exchange = std::move(exchange);
  if (parts_.faults.stall_transfer) {
    return;
  }
  const double link_seconds =
      read.tokens * parts_.options.kv_bytes_per_token / parts_.options.link_bytes_per_s;
  const instant now = timer_service::now();
  link_free_at_ = std::max(link_free_at_, now) + parts_.options.ScaledSeconds(link_seconds);
  read.timer = PostAfter(around_, link_free_at_ - now, [this, key] { SendKv(key); });
}

void prefill_queue::SendKv(job_id id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  const job& read = found->second;
  ++parts_.counters.kv_read;
  parts_.counters.kv_tokens_read += read.tokens;
  ReplyJson(*read.exchange, 200, {{"seed", SeedOf(read.prompt)}, {"prompt_tokens", read.tokens}});
  Drop(id);
}

void prefill_queue::Abort(const std::string& request) {
  for (auto at = jobs_.begin(); at != jobs_.end();) {
    const auto current = at++;
    if (current->second.request != request) {
      continue;
    }
    if (current->second.state != job_state::kKept) {
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
  parts_.memory.Give(found->second.pieces);
  if (running_ == id) {
    running_.reset();
    around_.loop.Post([this] { Next(); });
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

std::size_t prefill_queue::kept() const {
  return std::count_if(jobs_.begin(), jobs_.end(), [](const auto& each) {
    return each.second.state == job_state::kKept || each.second.state == job_state::kBeingRead;
  });
}

}  // namespace jacinthspool::standins
