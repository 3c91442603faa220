#include "tests/fuzz/fake_backend.h"

#include <algorithm>
#include <utility>

namespace jacinthspool::fuzz {
namespace {

constexpr microseconds kPrefillTime = milliseconds(30);
constexpr microseconds kTransferTime = milliseconds(5);
constexpr microseconds kTokenTime = milliseconds(10);
constexpr microseconds kCallTime = milliseconds(20);
constexpr microseconds kCancelTime = milliseconds(2);
constexpr microseconds kAbortRetryInterval = milliseconds(100);
constexpr microseconds kKvLife = milliseconds(800);

/// Parses a request body of the form "NAME TOKENS"; the entry may append to the body.
std::pair<std::string, std::uint32_t> NameAndTokens(const std::string& request) {
  const std::size_t space = request.find(' ');
  return {request.substr(0, space),
          static_cast<std::uint32_t>(std::stoul(request.substr(space + 1)))};
}

std::vector<std::uint8_t> Bytes(const std::string& text) { return {text.begin(), text.end()}; }

}  // namespace

std::string ExpectedPiece(const std::string& engine_request, std::uint32_t offset) {
  return NameAndTokens(engine_request).first + "." + std::to_string(offset) + " ";
}

const fake_backend::run* fake_backend::Find(const attempt_id& id, std::uint64_t number) const {
  const auto found = runs_.find(id);
  return found != runs_.end() && found->second.number == number ? &found->second : nullptr;
}

microseconds fake_backend::DelayWithStall(microseconds duration) const {
  const instant now = options_.time.now();
  return duration + std::max(stalled_until_ - now, microseconds(0));
}

bool fake_backend::Begin(incarnation_id agent, const attempt_id& id, const std::string& request) {
  if (runs_.size() >= options_.pieces) {
    options_.on_event(agent, engine_failed{id, run_state::kNotRun, "no room"});
    return false;
  }
  options_.truth.Executed(id.request);
  runs_[id] = {agent, request, ++last_number_};
  return true;
}

void fake_backend::Order(incarnation_id agent, const order_prefill& order) {
  if (!Begin(agent, order.id, order.engine_request)) {
    return;
  }
  const std::uint64_t number = last_number_;
  options_.time.After(DelayWithStall(kPrefillTime), [this, id = order.id, number, agent] {
    if (Find(id, number) == nullptr) {
      return;
    }
    runs_.erase(id);
    const std::string handle =
        ToString(id.request) + ":" + std::to_string(number) + "@" + options_.name;
    options_.kv[handle] = options_.time.now() + kKvLife;
    kv_handle kv;
    kv.params = handle;
    kv.bytes = 1;
    kv.expires_in = kKvLife;
    options_.on_event(agent, engine_prefilled{id, kv, 1, 0});
  });
}

void fake_backend::Order(incarnation_id agent, const order_decode& order) {
  if (!Begin(agent, order.id, order.engine_request)) {
    return;
  }
  const std::uint64_t number = last_number_;
  options_.time.After(DelayWithStall(kTransferTime), [this, order, number, agent] {
    const run* found = Find(order.id, number);
    if (found == nullptr) {
      return;
    }
    const auto kv = options_.kv.find(order.kv.params);
    const bool alive = kv != options_.kv.end() && kv->second > options_.time.now();
    if (!alive || !order.kv.params.starts_with(ToString(order.id.request) + ":")) {
      options_.on_event(agent, engine_failed{order.id, run_state::kUnknown, "no KV cache"});
      return;
    }
    Step(order.id, number, 0, NameAndTokens(found->request).second);
  });
}

void fake_backend::Step(attempt_id id, std::uint64_t number, std::uint32_t token,
                        std::uint32_t tokens) {
  options_.time.After(DelayWithStall(kTokenTime), [this, id, number, token, tokens] {
    const run* found = Find(id, number);
    if (found == nullptr) {
      return;
    }
    const run current = *found;
    if (token < tokens) {
      options_.on_event(current.agent, engine_piece{id, ExpectedPiece(current.request, token)});
      Step(id, number, token + 1, tokens);
      return;
    }
    runs_.erase(id);
    options_.on_event(current.agent, engine_finished{id, "stop", 1, tokens});
  });
}

void fake_backend::Order(incarnation_id agent, const order_call& order) {
  if (!Begin(agent, order.id, "")) {
    return;
  }
  const std::uint64_t number = last_number_;
  options_.time.After(DelayWithStall(kCallTime), [this, id = order.id, number, agent] {
    if (Find(id, number) == nullptr) {
      return;
    }
    runs_.erase(id);
    options_.on_event(agent,
                      service_answered{id, 200, {}, Bytes("answer to " + ToString(id.request))});
  });
}

void fake_backend::Order(incarnation_id agent, const order_release& order) {
  if (ignored_cancels_ > 0) {
    --ignored_cancels_;
    return;
  }
  options_.time.After(DelayWithStall(kCancelTime), [this, id = order.id, agent] {
    const auto found = runs_.find(id);
    if (found == runs_.end() || found->second.agent == agent) {
      runs_.erase(id);
      options_.on_event(agent, engine_released{id});
    }
  });
}

void fake_backend::AbortOtherIncarnations(incarnation_id agent) {
  if (ignored_cancels_ > 0) {
    --ignored_cancels_;
  } else {
    std::erase_if(runs_, [agent](const auto& entry) { return entry.second.agent != agent; });
  }
  const bool remaining = std::any_of(runs_.begin(), runs_.end(), [agent](const auto& entry) {
    return entry.second.agent < agent;
  });
  if (remaining) {
    options_.time.After(kAbortRetryInterval, [this, agent] { AbortOtherIncarnations(agent); });
  }
}

void fake_backend::Crash() {
  for (const auto& [id, current] : runs_) {
    options_.on_event(current.agent, engine_failed{id, run_state::kUnknown, "connection lost"});
  }
  runs_.clear();
}

void fake_backend::CheckHeld(microseconds limit) const {
  const instant now = options_.time.now();
  for (const auto& [id, current] : runs_) {
    options_.truth.CheckHolding(id.request, options_.name, now, limit);
  }
}

}  // namespace jacinthspool::fuzz
