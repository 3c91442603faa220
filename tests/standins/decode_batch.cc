#include "tests/standins/decode_batch.h"

#include <algorithm>
#include <utility>

#include "tests/standins/expected_answer.h"

namespace jacinthspool::standins {
namespace {

constexpr std::uint32_t kDefaultTransferMs = 10000;

std::string Event(const nlohmann::json& body) { return "data: " + body.dump() + "\n\n"; }

nlohmann::json Chunk(const std::string& request, const std::string& text,
                     const nlohmann::json& finish_reason) {
  return {{"id", request},
          {"object", "text_completion"},
          {"choices", {{{"index", 0}, {"text", text}, {"finish_reason", finish_reason}}}}};
}

}  // namespace

decode_batch::decode_batch(standin_context context, engine_state& state)
    : context_(context), state_(state) {}

void decode_batch::Admit(const std::string& request, std::uint32_t priority,
                         exchange_ptr exchange) {
  const nlohmann::json body = BodyOf(*exchange);
  sequence added{.id = ++last_id_, .request = request, .priority = priority};
  added.max_tokens = MaxTokensOf(body);
  added.prompt_tokens = TokensOf(PromptOf(body));
  added.pieces = state_.options.PiecesFor(added.prompt_tokens + added.max_tokens);
  added.exchange = std::move(exchange);
  if (!state_.memory.Allocate(added.pieces)) {
    ++state_.counters.refused_without_room;
    ReplyError(*added.exchange, 429, "no room for the sequence");
    return;
  }
  ++state_.counters.decodes;
  if (state_.options.abort_on_disconnect) {
    added.exchange->OnCallerDisconnected([this, request] { Abort(request); });
  }
  sequences_.push_back(std::move(added));
  const milliseconds limit(body.value("kv_transfer_timeout_ms", kDefaultTransferMs));
  Transfer(sequences_.back(), body["kv_transfer_params"], limit);
}

void decode_batch::Transfer(sequence& added, const nlohmann::json& params, microseconds limit) {
  const std::uint64_t id = added.id;
  const nlohmann::json blocks = params.value("remote_block_ids", nlohmann::json::array());
  const std::string block = blocks.empty() ? "0" : blocks.front().dump();
  http_request read{.address = params.value("remote_host", "") + ":" +
                               std::to_string(params.value("remote_port", 0)),
                    .target = "/kv/" + block,
                    .timeout = limit + seconds(1)};
  added.transfer_limit =
      PostAfter(context_, limit, [this, id] { Fail(id, 504, "the transfer took too long"); });
  added.transfer = context_.client.Fetch(
      std::move(read), {.on_done = [this, id](const http_response& response) {
        context_.loop.Post([this, id, response] { TransferDone(id, response); });
      }});
}

void decode_batch::TransferDone(std::uint64_t id, const http_response& response) {
  const position found = Find(id);
  if (found == sequences_.end()) {
    return;
  }
  const nlohmann::json kv = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != 200 || !kv.is_object()) {
    Fail(id, 410, "the KV cache is gone");
    return;
  }
  found->transfer_limit.Cancel();
  found->seed = kv.value("seed", std::uint64_t{0});
  found->state = sequence_state::kReady;
  found->exchange->StartStream(200, {{"Content-Type", "text/event-stream"}});
  ScheduleStep();
}

void decode_batch::Fail(std::uint64_t id, int status, const std::string& why) {
  const position found = Find(id);
  if (found != sequences_.end() && found->state == sequence_state::kTransfer) {
    ReplyError(*found->exchange, status, why);
    Drop(found);
  }
}

void decode_batch::Resume() { ScheduleStep(); }

void decode_batch::ScheduleStep() {
  FillBatch();
  const std::size_t batch = running();
  if (batch == 0 || step_timer_.active() || state_.faults.stall_decode) {
    return;
  }
  const double growth = 1 + state_.options.step_growth * static_cast<double>(batch - 1);
  const auto length =
      static_cast<microseconds::rep>(static_cast<double>(state_.options.step.count()) * growth);
  step_timer_ =
      PostAfter(context_, state_.options.Scaled(microseconds(length)), [this] { Step(); });
}

void decode_batch::FillBatch() {
  while (running() < state_.options.max_running) {
    position best = sequences_.end();
    for (position at = sequences_.begin(); at != sequences_.end(); ++at) {
      const bool ready = at->state == sequence_state::kReady;
      if (ready && (best == sequences_.end() || at->priority < best->priority)) {
        best = at;
      }
    }
    if (best == sequences_.end()) {
      return;
    }
    best->state = sequence_state::kRunning;
  }
}

void decode_batch::Step() {
  if (state_.faults.stall_decode) {
    return;
  }
  for (position at = sequences_.begin(); at != sequences_.end();) {
    const position current = at++;
    if (current->state == sequence_state::kRunning && Produce(*current)) {
      Drop(current);
    }
  }
  ScheduleStep();
}

bool decode_batch::Produce(sequence& each) {
  if (each.produced < each.max_tokens) {
    const std::string word = AnswerWord(each.seed, each.produced++);
    ++state_.counters.decode_tokens;
    each.exchange->SendChunk(Event(Chunk(each.request, word, nullptr)));
  }
  if (each.produced >= state_.faults.cut_after_tokens) {
    if (ConsumeFault(state_.faults.cut_streams)) {
      each.exchange->AbortStream();
      return true;
    }
    if (ConsumeFault(state_.faults.truncate_streams)) {
      each.exchange->EndStream();
      return true;
    }
  }
  if (each.produced < each.max_tokens) {
    return false;
  }
  nlohmann::json last = Chunk(each.request, "", "length");
  last["usage"] = {{"prompt_tokens", each.prompt_tokens},
                   {"completion_tokens", each.produced},
                   {"total_tokens", each.prompt_tokens + each.produced}};
  each.exchange->SendChunk(Event(last));
  each.exchange->SendChunk("data: [DONE]\n\n");
  each.exchange->EndStream();
  return true;
}

void decode_batch::Abort(const std::string& request) {
  for (position at = sequences_.begin(); at != sequences_.end();) {
    const position current = at++;
    if (current->request != request) {
      continue;
    }
    if (current->state == sequence_state::kTransfer) {
      ReplyError(*current->exchange, 499, "aborted");
    } else {
      current->exchange->AbortStream();
    }
    Drop(current);
  }
}

void decode_batch::Drop(position at) {
  state_.memory.Free(at->pieces);
  sequences_.erase(at);
}

decode_batch::position decode_batch::Find(std::uint64_t id) {
  return std::find_if(sequences_.begin(), sequences_.end(),
                      [id](const sequence& each) { return each.id == id; });
}

std::uint32_t decode_batch::PiecesOf(const std::string& request) const {
  std::uint32_t pieces = 0;
  for (const sequence& each : sequences_) {
    pieces += each.request == request ? each.pieces : 0;
  }
  return pieces;
}

void decode_batch::List(nlohmann::json& requests) const {
  for (const sequence& each : sequences_) {
    requests.push_back({{"request_id", each.request},
                        {"pieces", each.pieces},
                        {"running", each.state == sequence_state::kRunning}});
  }
}

std::size_t decode_batch::running() const {
  return std::count_if(sequences_.begin(), sequences_.end(),
                       [](const sequence& each) { return each.state == sequence_state::kRunning; });
}

}  // namespace jacinthspool::standins
