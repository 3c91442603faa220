#ifndef JACINTHSPOOL_TESTS_FUZZ_FAKE_BACKEND_H_
#define JACINTHSPOOL_TESTS_FUZZ_FAKE_BACKEND_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "jacinthspool/impl/agent_core.h"
#include "tests/fuzz/oracle.h"
#include "tests/fuzz/virtual_clock.h"

namespace jacinthspool::fuzz {

/// \brief Expiry times of the KV caches that prefill engines hold for decode, by KV handle.
using kv_store = std::map<std::string, instant>;

/// \brief Simulates a backend server as its agent sees it; survives restarts of the agent.
class fake_backend {
 public:
  struct options {
    virtual_clock& time;
    oracle& truth;
    kv_store& kv;
    std::string name;
    std::uint32_t pieces = 20;
    /// Delivers an event to the agent if the incarnation that gave the order still runs.
    std::function<void(incarnation_id, agent_event)> on_event;
  };

  explicit fake_backend(options settings) : options_(std::move(settings)) {}

  /// \brief Executes an order from the agent incarnation `agent`.
  void Order(incarnation_id agent, const order_prefill& order);
  void Order(incarnation_id agent, const order_decode& order);
  void Order(incarnation_id agent, const order_call& order);
  void Order(incarnation_id agent, const order_release& order);

  /// \brief Aborts the runs of all incarnations except `agent`.
  ///
  /// Retries until no run of an earlier incarnation remains.
  void AbortOtherIncarnations(incarnation_id agent);

  void IgnoreCancels(std::uint32_t count) { ignored_cancels_ = count; }
  void Stall(microseconds duration) { stalled_until_ = options_.time.now() + duration; }
  void Crash();

  /// \returns true while it answers without a stall and executes cancellations.
  [[nodiscard]] bool responsive() const {
    return ignored_cancels_ == 0 && options_.time.now() >= stalled_until_;
  }
  [[nodiscard]] bool holds_nothing() const { return runs_.empty(); }
  /// \brief Reports each run whose caller has been gone for longer than `limit`.
  void CheckHeld(microseconds limit) const;

 private:
  struct run {
    incarnation_id agent = 0;
    std::string request;
    std::uint64_t number = 0;
  };

  bool Begin(incarnation_id agent, const attempt_id& id, const std::string& request);
  void Step(attempt_id id, std::uint64_t number, std::uint32_t token, std::uint32_t tokens);
  [[nodiscard]] const run* Find(const attempt_id& id, std::uint64_t number) const;
  [[nodiscard]] microseconds DelayWithStall(microseconds duration) const;

  options options_;
  std::map<attempt_id, run> runs_;
  std::uint64_t last_number_ = 0;
  std::uint32_t ignored_cancels_ = 0;
  instant stalled_until_{};
};

/// \returns The text of the piece at `offset` of the answer to a request.
std::string ExpectedPiece(const std::string& engine_request, std::uint32_t offset);

}  // namespace jacinthspool::fuzz

#endif  // JACINTHSPOOL_TESTS_FUZZ_FAKE_BACKEND_H_
