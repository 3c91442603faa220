#ifndef JACINTHSPOOL_TESTS_FUZZ_FLEET_H_
#define JACINTHSPOOL_TESTS_FUZZ_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jacinthspool/impl/agent_core.h"
#include "jacinthspool/impl/entry_core.h"
#include "tests/fuzz/fake_backend.h"
#include "tests/fuzz/oracle.h"
#include "tests/fuzz/virtual_clock.h"

namespace jacinthspool::fuzz {

inline constexpr std::size_t kEntries = 2;
inline constexpr std::size_t kAgents = 6;  ///< Two prefill, two decode, two service.

/// \brief Simulates entries and agents on fault-injecting links, with fake backend servers.
///
/// Delivers events to the cores and executes their effects in virtual time, as
/// the daemons do in real time. All randomness is derived from the seed.
class fleet {
 public:
  struct options {
    std::uint64_t seed = 1;
    routing_policy routing = reservation_first_policy{};
    /// Modifies the policy of each agent, to show that a check fails under a faulty policy.
    std::function<void(agent_policy&)> change_agent = {};
    /// Modifies the policy of each entry, for the same purpose.
    std::function<void(entry_policy&)> change_entry = {};
  };

  explicit fleet(options settings);

  void Complete(std::size_t entry, std::uint32_t tokens);
  void Call(std::size_t entry, bool repeatable, std::optional<std::uint32_t> key);
  void DisconnectCaller(std::size_t nth);

  void KillEntry(std::size_t entry);
  void StartEntry(std::size_t entry);
  void FreezeEntry(std::size_t entry);
  void WakeEntry(std::size_t entry);
  void KillAgent(std::size_t agent);
  void StartAgent(std::size_t agent);
  void FreezeAgent(std::size_t agent);
  void WakeAgent(std::size_t agent);

  void Cut(std::size_t entry, std::size_t agent);
  void Heal(std::size_t entry, std::size_t agent);
  void Stall(std::size_t entry, std::size_t agent, microseconds duration);
  void Duplicate(std::size_t entry, std::size_t agent, std::uint32_t count);
  void Reorder(std::size_t entry, std::size_t agent, std::uint32_t count);

  void IgnoreCancels(std::size_t agent, std::uint32_t count);
  void StallBackend(std::size_t agent, microseconds duration);
  void CrashBackend(std::size_t agent);
  void SetDraining(std::size_t agent, bool draining);

  void Advance(microseconds duration);
  /// \brief Ends all faults, waits until all work has ended, and runs the final checks.
  void Settle();

  [[nodiscard]] const oracle& truth() const { return truth_; }

 private:
  template <typename Core, typename Event>
  struct process_node {
    std::unique_ptr<Core> core;
    incarnation_id incarnation = 0;
    bool frozen = false;
    std::deque<Event> inbox;  ///< Events that arrived while it was frozen.
    std::optional<instant> draining_since;
    instant healthy_since{};  ///< Running, not frozen, and its backend server is responsive.
  };
  using entry_node = process_node<entry_core, entry_event>;
  using agent_node = process_node<agent_core, agent_event>;

  struct link {
    bool cut = false;
    bool up = false;
    std::uint64_t epoch = 0;  ///< Number of the connection; messages of an earlier one are dropped.
    instant stalled_until{};
    std::uint32_t duplicates = 0;
    std::uint32_t reorders = 0;
    std::map<request_id, instant> last_to_agent;
    std::map<request_id, instant> last_to_entry;
  };

  static std::string BackendName(std::size_t agent);
  [[nodiscard]] std::size_t AgentIndex(const std::string& backend) const;
  [[nodiscard]] std::optional<std::size_t> EntryIndex(incarnation_id incarnation) const;
  [[nodiscard]] agent_policy AgentPolicy(std::size_t agent) const;
  [[nodiscard]] entry_policy EntryPolicy() const;
  link& LinkOf(std::size_t entry, std::size_t agent) { return links_[entry * kAgents + agent]; }

  void DeliverToEntry(std::size_t entry, entry_event event);
  void DeliverToAgent(std::size_t agent, agent_event event);
  void Execute(std::size_t entry, entry_effects effects);
  void Execute(std::size_t agent, agent_effects effects);
  void Send(std::size_t entry, std::size_t agent, bool to_agent, const message& body);
  [[nodiscard]] instant DeliveryTime(link& path, bool to_agent, const message& body);
  void Disconnect(std::size_t entry, std::size_t agent);
  void Reconnect();
  void Heartbeat();
  void Tick();
  [[nodiscard]] microseconds Jitter(microseconds most);
  /// \brief Checks that no memory stays held for a disconnected caller, also if its entry failed.
  void CheckHeld();
  /// \brief Checks that a draining agent gives no new work to its backend server.
  void CheckDraining(std::size_t agent, const agent_effect& effect);

  options options_;
  virtual_clock time_;
  oracle truth_;
  kv_store kv_;
  std::mt19937_64 random_;
  incarnation_id last_incarnation_ = 100;
  std::uint64_t last_request_ = 0;
  std::vector<entry_node> entries_;
  std::vector<agent_node> agents_;
  std::vector<std::unique_ptr<fake_backend>> backends_;
  std::vector<link> links_;
  std::vector<request_id> accepted_;
};

}  // namespace jacinthspool::fuzz

#endif  // JACINTHSPOOL_TESTS_FUZZ_FLEET_H_
