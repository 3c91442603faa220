#include "tests/fuzz/fleet.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "jacinthspool/impl/overloaded.h"

namespace jacinthspool::fuzz {
namespace {

constexpr microseconds kTick = milliseconds(5);
constexpr microseconds kHeartbeat = seconds(1);
constexpr microseconds kReconnect = milliseconds(50);
constexpr microseconds kLinkDelay = milliseconds(1);
constexpr microseconds kLinkJitter = milliseconds(2);
constexpr microseconds kReorderDelay = milliseconds(40);
constexpr microseconds kSettleTime = seconds(40);
constexpr microseconds kHoldLimit = seconds(8);
constexpr microseconds kDrainingLimit = seconds(5);
constexpr microseconds kKeyLife = seconds(60);

work_kind KindOf(std::size_t agent) {
  constexpr std::size_t kPerKind = 2;
  return static_cast<work_kind>(agent / kPerKind);
}

}  // namespace

fleet::fleet(options settings)
    : options_(std::move(settings)),
      random_(options_.seed),
      entries_(kEntries),
      agents_(kAgents),
      links_(kEntries * kAgents) {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    backends_.push_back(std::make_unique<fake_backend>(fake_backend::options{
        .time = time_,
        .truth = truth_,
        .kv = kv_,
        .name = BackendName(agent),
        .pieces = 6,
        .on_event = [this, agent](incarnation_id receiver, agent_event event) {
          if (agents_[agent].core && agents_[agent].incarnation == receiver) {
            DeliverToAgent(agent, std::move(event));
          }
        }}));
    StartAgent(agent);
  }
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    StartEntry(entry);
  }
  Tick();
  Heartbeat();
  // Idempotency keys that an earlier incarnation could have accepted have expired by now.
  Advance(kKeyLife + seconds(1));
}

std::string fleet::BackendName(std::size_t agent) { return "b" + std::to_string(agent); }

std::size_t fleet::AgentIndex(const std::string& backend) const {
  return static_cast<std::size_t>(std::stoul(backend.substr(1)));
}

std::optional<std::size_t> fleet::EntryIndex(incarnation_id incarnation) const {
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    if (entries_[entry].core && entries_[entry].incarnation == incarnation) {
      return entry;
    }
  }
  return std::nullopt;
}

agent_policy fleet::AgentPolicy(std::size_t agent) const {
  agent_policy policy;
  policy.kind = KindOf(agent);
  policy.pieces = 6;
  policy.max_running = 6;
  policy.key_retained = kKeyLife;
  policy.shares = {{.team = "turnevo", .percent = 100}};
  if (options_.change_agent) {
    options_.change_agent(policy);
  }
  return policy;
}

entry_policy fleet::EntryPolicy() const {
  entry_policy policy;
  policy.data_centre = "dc1";
  policy.routing = options_.routing;
  const char* names[] = {"prefill", "decode", "orders"};
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    const auto kind = static_cast<std::size_t>(KindOf(agent));
    if (policy.pools.size() <= kind) {
      policy.pools.push_back({.name = names[kind], .kind = KindOf(agent), .members = {}});
    }
    policy.pools[kind].members.push_back({.backend = BackendName(agent), .data_centre = "dc1"});
  }
  if (options_.change_entry) {
    options_.change_entry(policy);
  }
  return policy;
}

microseconds fleet::Jitter(microseconds most) {
  return microseconds(std::uniform_int_distribution<microseconds::rep>(0, most.count())(random_));
}

void fleet::StartEntry(std::size_t entry) {
  entry_node& node = entries_[entry];
  if (node.core) {
    return;
  }
  node = {};
  node.incarnation = ++last_incarnation_;
  node.core = std::make_unique<entry_core>(entry_core::options{
      .incarnation = node.incarnation, .random_seed = random_(), .policy = EntryPolicy()});
}

void fleet::StartAgent(std::size_t agent) {
  agent_node& node = agents_[agent];
  if (node.core) {
    return;
  }
  node = {};
  node.incarnation = ++last_incarnation_;
  node.core = std::make_unique<agent_core>(agent_core::options{.incarnation = node.incarnation,
                                                               .backend = BackendName(agent),
                                                               .policy = AgentPolicy(agent)});
  node.healthy_since = time_.now();
  backends_[agent]->AbortOtherIncarnations(node.incarnation);
}

void fleet::KillEntry(std::size_t entry) {
  if (!entries_[entry].core) {
    return;
  }
  truth_.EntryLost(entries_[entry].incarnation, time_.now());
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    Disconnect(entry, agent);
  }
  entries_[entry] = {};
}

void fleet::KillAgent(std::size_t agent) {
  if (!agents_[agent].core) {
    return;
  }
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    Disconnect(entry, agent);
  }
  agents_[agent] = {};
}

void fleet::FreezeEntry(std::size_t entry) {
  entries_[entry].frozen = entries_[entry].core != nullptr;
}
void fleet::FreezeAgent(std::size_t agent) {
  agents_[agent].frozen = agents_[agent].core != nullptr;
}

void fleet::WakeEntry(std::size_t entry) {
  entries_[entry].frozen = false;
  DeliverToEntry(entry, entry_time_passed{});
  for (entry_event& event : std::exchange(entries_[entry].inbox, {})) {
    DeliverToEntry(entry, std::move(event));
  }
}

void fleet::WakeAgent(std::size_t agent) {
  agents_[agent].frozen = false;
  DeliverToAgent(agent, time_passed{});
  for (agent_event& event : std::exchange(agents_[agent].inbox, {})) {
    DeliverToAgent(agent, std::move(event));
  }
}

void fleet::Complete(std::size_t entry, std::uint32_t tokens) {
  if (!entries_[entry].core || entries_[entry].frozen) {
    return;
  }
  caller_request request;
  request.id = {entries_[entry].incarnation, ++last_request_};
  request.team = "turnevo";
  request.model = "digest";
  request.prefill_pool = "prefill";
  request.pool = "decode";
  request.engine_request = "r" + std::to_string(last_request_) + " " + std::to_string(tokens);
  request.prompt_tokens = 100;
  request.output_tokens = tokens;
  request.prefix_hashes = {1, 2};
  request.patient = true;
  request.deadline_in = seconds(2);
  std::string expected;
  for (std::uint32_t offset = 0; offset < tokens; ++offset) {
    expected += ExpectedPiece(request.engine_request, offset);
  }
  truth_.Accepted(request.id, {.expected = expected, .key = ""});
  accepted_.push_back(request.id);
  DeliverToEntry(entry, std::move(request));
}

void fleet::Call(std::size_t entry, bool repeatable, std::optional<std::uint32_t> key) {
  if (!entries_[entry].core || entries_[entry].frozen) {
    return;
  }
  caller_request request;
  request.id = {entries_[entry].incarnation, ++last_request_};
  request.team = "turnevo";
  request.pool = "orders";
  request.call.emplace();
  request.call->method = "POST";
  request.call->target = "/orders";
  request.repeatable = repeatable;
  request.deadline_in = seconds(2);
  if (key) {
    // A caller does not use a key for longer than the agents retain it.
    const auto period = time_.now().time_since_epoch() / (kKeyLife / 2);
    request.idempotency_key = "key" + std::to_string(*key) + "-" + std::to_string(period);
  }
  truth_.Accepted(request.id,
                  {.expected = "", .repeatable = repeatable, .key = request.idempotency_key});
  accepted_.push_back(request.id);
  DeliverToEntry(entry, std::move(request));
}

void fleet::DisconnectCaller(std::size_t nth) {
  if (accepted_.empty()) {
    return;
  }
  const request_id id = accepted_[accepted_.size() - 1 - nth % accepted_.size()];
  const oracle::accepted_request& request = truth_.requests().at(id);
  const std::optional<std::size_t> entry = EntryIndex(id.incarnation);
  if (!entry || request.caller_disconnected || !request.final_outcome.empty()) {
    return;
  }
  truth_.CallerGone(id, time_.now());
  DeliverToEntry(*entry, caller_disconnected{id});
}

void fleet::Disconnect(std::size_t entry, std::size_t agent) {
  link& path = LinkOf(entry, agent);
  if (!path.up) {
    return;
  }
  path.up = false;
  ++path.epoch;
  path.last_to_agent.clear();
  path.last_to_entry.clear();
  DeliverToEntry(entry, agent_down{BackendName(agent)});
  DeliverToAgent(agent, entry_down{entries_[entry].incarnation});
}

void fleet::Cut(std::size_t entry, std::size_t agent) {
  LinkOf(entry, agent).cut = true;
  Disconnect(entry, agent);
}

void fleet::Heal(std::size_t entry, std::size_t agent) { LinkOf(entry, agent).cut = false; }

void fleet::Stall(std::size_t entry, std::size_t agent, microseconds duration) {
  LinkOf(entry, agent).stalled_until = time_.now() + duration;
}

void fleet::Duplicate(std::size_t entry, std::size_t agent, std::uint32_t count) {
  LinkOf(entry, agent).duplicates += count;
}

void fleet::Reorder(std::size_t entry, std::size_t agent, std::uint32_t count) {
  LinkOf(entry, agent).reorders += count;
}

void fleet::IgnoreCancels(std::size_t agent, std::uint32_t count) {
  backends_[agent]->IgnoreCancels(count);
}
void fleet::StallBackend(std::size_t agent, microseconds duration) {
  backends_[agent]->Stall(duration);
}
void fleet::CrashBackend(std::size_t agent) { backends_[agent]->Crash(); }

void fleet::SetDraining(std::size_t agent, bool draining) {
  if (!agents_[agent].core) {
    return;
  }
  DeliverToAgent(agent, draining_changed{draining});
  if (!draining) {
    agents_[agent].draining_since.reset();
  } else if (!agents_[agent].draining_since) {
    agents_[agent].draining_since = time_.now();
  }
}

void fleet::DeliverToEntry(std::size_t entry, entry_event event) {
  entry_node& node = entries_[entry];
  if (!node.core) {
    return;
  }
  if (node.frozen) {
    node.inbox.push_back(std::move(event));
    return;
  }
  Execute(entry, node.core->Handle(time_.now(), std::move(event)));
}

void fleet::DeliverToAgent(std::size_t agent, agent_event event) {
  agent_node& node = agents_[agent];
  if (!node.core) {
    return;
  }
  if (node.frozen) {
    node.inbox.push_back(std::move(event));
    return;
  }
  Execute(agent, node.core->Handle(time_.now(), std::move(event)));
}

void fleet::Execute(std::size_t entry, entry_effects effects) {
  for (entry_effect& effect : effects) {
    std::visit(
        overloaded{
            [&](send_to_agent& send) { Send(entry, AgentIndex(send.backend), true, send.body); },
            [&](deliver_piece& sent) { truth_.Delivered(sent.id, sent.text); },
            [&](deliver_end& sent) { truth_.Done(sent.id); },
            [&](deliver_call& sent) {
              truth_.CallDone(sent.id, {sent.body.begin(), sent.body.end()});
            },
            [&](deliver_not_run& sent) { truth_.NotRun(sent.id); },
            [&](deliver_unknown& sent) { truth_.Ended(sent.id, "unknown"); },
            [&](deliver_failed& sent) { truth_.Ended(sent.id, "failed"); },
            [&](log_entry_decision&) {},
        },
        effect);
  }
}

void fleet::CheckDraining(std::size_t agent, const agent_effect& effect) {
  const bool new_work = std::holds_alternative<order_prefill>(effect) ||
                        std::holds_alternative<order_decode>(effect) ||
                        std::holds_alternative<order_call>(effect);
  const std::optional<instant>& since = agents_[agent].draining_since;
  if (new_work && since && time_.now() - *since > kDrainingLimit) {
    truth_.Violation("leaving: " + BackendName(agent) + " received new work while draining");
  }
}

void fleet::Execute(std::size_t agent, agent_effects effects) {
  const incarnation_id incarnation = agents_[agent].incarnation;
  for (agent_effect& effect : effects) {
    CheckDraining(agent, effect);
    std::visit(
        [&](auto& body) {
          using body_type = std::remove_cvref_t<decltype(body)>;
          if constexpr (std::is_same_v<body_type, send_to_entry>) {
            if (const std::optional<std::size_t> entry = EntryIndex(body.entry)) {
              Send(*entry, agent, false, body.body);
            }
          } else if constexpr (!std::is_same_v<body_type, log_decision>) {
            // The backend server receives an order after a delay and answers it later.
            time_.After(microseconds(100), [this, agent, incarnation, order = std::move(body)] {
              backends_[agent]->Order(incarnation, order);
            });
          }
        },
        effect);
  }
}

instant fleet::DeliveryTime(link& path, bool to_agent, const message& body) {
  instant due = std::max(time_.now() + kLinkDelay + Jitter(kLinkJitter), path.stalled_until);
  if (path.reorders > 0) {
    --path.reorders;
    return due + Jitter(kReorderDelay);
  }
  if (const std::optional<request_id> request = RequestOf(body)) {
    instant& last = (to_agent ? path.last_to_agent : path.last_to_entry)[*request];
    due = std::max(due, last + microseconds(1));
    last = due;
  }
  return due;
}

void fleet::Send(std::size_t entry, std::size_t agent, bool to_agent, const message& body) {
  link& path = LinkOf(entry, agent);
  if (!path.up) {
    return;
  }
  // Messages pass through the codec so that the fuzz test covers it too.
  const std::vector<std::uint8_t> bytes = Encode(body);
  const auto deliver = [this, entry, agent, to_agent, bytes, epoch = path.epoch] {
    if (LinkOf(entry, agent).epoch != epoch) {
      return;
    }
    message received = *Decode(bytes);
    if (to_agent) {
      DeliverToAgent(agent, entry_message{entries_[entry].incarnation, std::move(received)});
    } else {
      DeliverToEntry(entry, agent_message{BackendName(agent), agents_[agent].incarnation,
                                          std::move(received)});
    }
  };
  time_.After(DeliveryTime(path, to_agent, body) - time_.now(), deliver);
  if (path.duplicates > 0) {
    --path.duplicates;
    time_.After(DeliveryTime(path, to_agent, body) - time_.now() + Jitter(kReorderDelay), deliver);
  }
}

void fleet::Reconnect() {
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      link& path = LinkOf(entry, agent);
      const bool awake = entries_[entry].core && !entries_[entry].frozen && agents_[agent].core &&
                         !agents_[agent].frozen;
      if (path.up || path.cut || !awake || time_.now() < path.stalled_until) {
        continue;
      }
      path.up = true;
      DeliverToAgent(agent, entry_up{entries_[entry].incarnation, "e" + std::to_string(entry)});
      DeliverToEntry(entry, agent_up{BackendName(agent), agents_[agent].incarnation});
    }
  }
}

void fleet::CheckHeld() {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    agent_node& node = agents_[agent];
    if (!node.core || node.frozen || !backends_[agent]->responsive()) {
      node.healthy_since = time_.now();
    }
    if (time_.now() - node.healthy_since > kHoldLimit) {
      backends_[agent]->CheckHeld(kHoldLimit);
    }
  }
}

void fleet::Heartbeat() {
  time_.After(kHeartbeat, [this] { Heartbeat(); });
  CheckHeld();
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      if (entries_[entry].core && !entries_[entry].frozen) {
        Send(entry, agent, true, heartbeat{});
      }
      if (agents_[agent].core && !agents_[agent].frozen) {
        heartbeat beat;
        beat.load = std::make_shared<agent_load>(agents_[agent].core->load(time_.now()));
        Send(entry, agent, false, beat);
      }
    }
  }
}

void fleet::Tick() {
  time_.After(kTick, [this] { Tick(); });
  if (time_.now().time_since_epoch() % kReconnect < kTick) {
    Reconnect();
  }
  const auto due = [this](const auto& node) {
    return node.core && !node.frozen && node.core->next_wakeup() &&
           *node.core->next_wakeup() <= time_.now();
  };
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    if (due(entries_[entry])) {
      DeliverToEntry(entry, entry_time_passed{});
    }
  }
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    if (due(agents_[agent])) {
      DeliverToAgent(agent, time_passed{});
    }
  }
}

void fleet::Advance(microseconds duration) { time_.Advance(duration); }

void fleet::Settle() {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    StartAgent(agent);
    WakeAgent(agent);
    backends_[agent]->IgnoreCancels(0);
    SetDraining(agent, false);
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      Heal(entry, agent);
    }
  }
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    StartEntry(entry);
    WakeEntry(entry);
  }
  Advance(kSettleTime);
  truth_.CheckAllAnswered();
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    if (!backends_[agent]->holds_nothing()) {
      truth_.Violation("memory: " + BackendName(agent) + " holds memory after all work has ended");
    }
    if (!agents_[agent].core->idle()) {
      truth_.Violation("memory: the agent of " + BackendName(agent) +
                       " is not idle after all work has ended");
    }
  }
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    if (!entries_[entry].core->idle()) {
      truth_.Violation("whole answer: entry " + std::to_string(entry) +
                       " is not idle after all work has ended");
    }
  }
}

}  // namespace jacinthspool::fuzz
