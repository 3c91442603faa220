#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>
#include <ostream>
#include <string>

#include "tests/fuzz/fleet.h"

namespace jacinthspool::fuzz {
namespace {

/// \brief The model state that the generator uses to avoid commands without effect.
struct fleet_model {
  std::vector<bool> entry_alive = std::vector<bool>(kEntries, true);
  std::vector<bool> entry_frozen = std::vector<bool>(kEntries, false);
  std::vector<bool> agent_alive = std::vector<bool>(kAgents, true);
  std::vector<bool> agent_frozen = std::vector<bool>(kAgents, false);
  std::vector<bool> cut = std::vector<bool>(kEntries * kAgents, false);
};

using fleet_command = rc::state::Command<fleet_model, fleet>;

std::size_t PickEntry() { return *rc::gen::inRange<std::size_t>(0, kEntries); }
std::size_t PickAgent() { return *rc::gen::inRange<std::size_t>(0, kAgents); }

struct complete_command : fleet_command {
  std::size_t entry = PickEntry();
  // Some answers take longer than every lease.
  std::uint32_t tokens =
      *rc::gen::weightedOneOf<std::uint32_t>({{5, rc::gen::inRange<std::uint32_t>(1, 60)},
                                              {1, rc::gen::inRange<std::uint32_t>(1500, 2500)}});
  void checkPreconditions(const fleet_model& model) const override {
    RC_PRE(model.entry_alive[entry] && !model.entry_frozen[entry]);
  }
  void run(const fleet_model& /*model*/, fleet& sut) const override { sut.Complete(entry, tokens); }
  void show(std::ostream& out) const override {
    out << "sut.Complete(" << entry << ", " << tokens << ");";
  }
};

struct call_command : fleet_command {
  std::size_t entry = PickEntry();
  bool repeatable = *rc::gen::inRange(0, 4) == 0;
  std::uint32_t key = *rc::gen::inRange<std::uint32_t>(0, 8);
  [[nodiscard]] std::optional<std::uint32_t> KeyOrNone() const {
    constexpr std::uint32_t kKeys = 4;
    return !repeatable && key < kKeys ? std::optional(key) : std::nullopt;
  }
  void checkPreconditions(const fleet_model& model) const override {
    RC_PRE(model.entry_alive[entry] && !model.entry_frozen[entry]);
  }
  void run(const fleet_model& /*model*/, fleet& sut) const override {
    sut.Call(entry, repeatable, KeyOrNone());
  }
  void show(std::ostream& out) const override {
    out << "sut.Call(" << entry << ", " << (repeatable ? "true" : "false") << ", ";
    if (KeyOrNone()) {
      out << key << ");";
    } else {
      out << "std::nullopt);";
    }
  }
};

struct disconnect_caller_command : fleet_command {
  std::size_t nth = *rc::gen::inRange<std::size_t>(0, 6);
  void run(const fleet_model& /*model*/, fleet& sut) const override { sut.DisconnectCaller(nth); }
  void show(std::ostream& out) const override { out << "sut.DisconnectCaller(" << nth << ");"; }
};

struct entry_life_command : fleet_command {
  std::size_t entry = PickEntry();
  int action = *rc::gen::inRange(0, 2);  // 0: kill or start; 1: freeze or wake
  void apply(fleet_model& model) const override {
    if (action == 0) {
      model.entry_alive[entry] = !model.entry_alive[entry];
      model.entry_frozen[entry] = false;
    } else {
      model.entry_frozen[entry] = model.entry_alive[entry] && !model.entry_frozen[entry];
    }
  }
  void run(const fleet_model& model, fleet& sut) const override {
    if (action == 0) {
      model.entry_alive[entry] ? sut.KillEntry(entry) : sut.StartEntry(entry);
    } else {
      model.entry_frozen[entry] ? sut.WakeEntry(entry) : sut.FreezeEntry(entry);
    }
  }
  void show(std::ostream& out) const override {
    out << (action == 0 ? "KillOrStartEntry(" : "FreezeOrWakeEntry(") << entry << ");";
  }
};

struct agent_life_command : fleet_command {
  std::size_t agent = PickAgent();
  int action = *rc::gen::inRange(0, 2);
  void apply(fleet_model& model) const override {
    if (action == 0) {
      model.agent_alive[agent] = !model.agent_alive[agent];
      model.agent_frozen[agent] = false;
    } else {
      model.agent_frozen[agent] = model.agent_alive[agent] && !model.agent_frozen[agent];
    }
  }
  void run(const fleet_model& model, fleet& sut) const override {
    if (action == 0) {
      model.agent_alive[agent] ? sut.KillAgent(agent) : sut.StartAgent(agent);
    } else {
      model.agent_frozen[agent] ? sut.WakeAgent(agent) : sut.FreezeAgent(agent);
    }
  }
  void show(std::ostream& out) const override {
    out << (action == 0 ? "KillOrStartAgent(" : "FreezeOrWakeAgent(") << agent << ");";
  }
};

struct link_command : fleet_command {
  std::size_t entry = PickEntry();
  std::size_t agent = PickAgent();
  int action = *rc::gen::inRange(0, 4);
  std::uint32_t amount = *rc::gen::inRange<std::uint32_t>(1, 8);
  void apply(fleet_model& model) const override {
    if (action == 0) {
      model.cut[entry * kAgents + agent].flip();
    }
  }
  void run(const fleet_model& model, fleet& sut) const override {
    switch (action) {
      case 0:
        model.cut[entry * kAgents + agent] ? sut.Heal(entry, agent) : sut.Cut(entry, agent);
        break;
      case 1:
        sut.Stall(entry, agent, seconds(amount));
        break;
      case 2:
        sut.Duplicate(entry, agent, amount);
        break;
      default:
        sut.Reorder(entry, agent, amount);
        break;
    }
  }
  void show(std::ostream& out) const override {
    const char* names[] = {"CutOrHeal", "Stall", "Duplicate", "Reorder"};
    out << names[action] << "(" << entry << ", " << agent << ", " << amount << ");";
  }
};

struct backend_command : fleet_command {
  std::size_t agent = PickAgent();
  int action = *rc::gen::inRange(0, 5);
  std::uint32_t amount = *rc::gen::inRange<std::uint32_t>(1, 4);
  void run(const fleet_model& /*model*/, fleet& sut) const override {
    switch (action) {
      case 0:
        sut.IgnoreCancels(agent, amount);
        break;
      case 1:
        sut.StallBackend(agent, seconds(amount));
        break;
      case 2:
        sut.CrashBackend(agent);
        break;
      default:
        sut.SetDraining(agent, action == 3);
        break;
    }
  }
  void show(std::ostream& out) const override {
    const char* names[] = {"IgnoreCancels", "StallBackend", "CrashBackend", "StartDraining",
                           "StopDraining"};
    out << names[action] << "(" << agent << ", " << amount << ");";
  }
};

struct advance_command : fleet_command {
  milliseconds duration{*rc::gen::weightedOneOf<int>({{6, rc::gen::inRange(1, 60)},
                                                      {3, rc::gen::inRange(60, 1000)},
                                                      {1, rc::gen::inRange(1000, 9000)}})};
  void run(const fleet_model& /*model*/, fleet& sut) const override { sut.Advance(duration); }
  void show(std::ostream& out) const override {
    out << "sut.Advance(milliseconds(" << duration.count() << "));";
  }
};

template <typename Command>
rc::Gen<std::shared_ptr<const fleet_command>> MakeCommand() {
  return rc::gen::exec([] {
    return std::static_pointer_cast<const fleet_command>(std::make_shared<const Command>());
  });
}

rc::Gen<std::shared_ptr<const fleet_command>> AnyCommand() {
  return rc::gen::weightedOneOf<std::shared_ptr<const fleet_command>>({
      {8, MakeCommand<complete_command>()},
      {5, MakeCommand<call_command>()},
      {3, MakeCommand<disconnect_caller_command>()},
      {1, MakeCommand<entry_life_command>()},
      {2, MakeCommand<agent_life_command>()},
      {4, MakeCommand<link_command>()},
      {3, MakeCommand<backend_command>()},
      {12, MakeCommand<advance_command>()},
  });
}

void Report(const fleet& sut) {
  std::string all;
  for (const std::string& violation : sut.truth().violations()) {
    all += violation + "\n";
  }
  if (!all.empty()) {
    RC_FAIL(all);
  }
}

TEST_CASE("the invariants of the fleet hold under any sequence of faults") {
  std::map<std::string, std::size_t> outcomes;
  const bool held = rc::check("fleet", [&outcomes] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    fleet sut({.seed = seed});
    rc::state::check(fleet_model{}, sut, [](const fleet_model& /*model*/) { return AnyCommand(); });
    sut.Settle();
    for (const auto& [outcome, count] : sut.truth().outcomes()) {
      outcomes[outcome] += count;
    }
    Report(sut);
  });
  CHECK(held);
  // A run in which no request ends, or all end with one outcome, would not exercise the checks.
  for (const auto& [outcome, count] : outcomes) {
    MESSAGE(outcome << ": " << count);
  }
  for (const char* outcome : {"done", "not run", "unknown", "failed", "caller gone"}) {
    CHECK(outcomes[outcome] > 0);
  }
}

}  // namespace
}  // namespace jacinthspool::fuzz
