#ifndef JACINTHSPOOL_TESTS_FUZZ_FAKE_BACKEND_H_
#define JACINTHSPOOL_TESTS_FUZZ_FAKE_BACKEND_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "jacinthspool/impl/agent_core.h"
#include "tests/fuzz/agenda.h"
#include "tests/fuzz/oracle.h"

namespace jacinthspool::fuzz {

/// \brief The KV caches that prefill engines keep for a short while, by their handle.
using kv_store = std::map<std::string, instant>;

/// \brief A backend server as its agent sees it; outlives the agent.
class fake_backend {
 public:
  struct options {
    agenda& time;
    oracle& truth;
    kv_store& kv;
    std::string name;
    std::uint32_t pieces = 20;
    /// Carries an event to the agent, if the incarnation that gave the order still lives.
    std::function<void(incarnation_id, agent_event)> tell;
  };

  explicit fake_backend(options settings) : options_(std::move(settings)) {}

  /// \brief Carries out an order of an agent's incarnation.
  void Order(incarnation_id agent, const order_prefill& order);
  void Order(incarnation_id agent, const order_decode& order);
  void Order(incarnation_id agent, const order_call& order);
  void Order(incarnation_id agent, const order_release& order);

  /// \brief A new agent ends what earlier incarnations left; repeated until it holds nothing.
  void AbortOthers(incarnation_id agent);

  void IgnoreCancels(std::uint32_t count) { ignored_cancels_ = count; }
  void Stall(microseconds duration) { stalled_until_ = options_.time.now() + duration; }
  void Crash();

  /// \returns true while it answers and carries out cancels.
  [[nodiscard]] bool obeys() const {
    return ignored_cancels_ == 0 && options_.time.now() >= stalled_until_;
  }
  [[nodiscard]] bool holds_nothing() const { return runs_.empty(); }
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
  [[nodiscard]] microseconds Busy(microseconds duration) const;

  options options_;
  std::map<attempt_id, run> runs_;
  std::uint64_t last_number_ = 0;
  std::uint32_t ignored_cancels_ = 0;
  instant stalled_until_{};
};

/// \brief The piece of text at `offset` of the answer to a request.
std::string ExpectedPiece(const std::string& engine_request, std::uint32_t offset);

}  // namespace jacinthspool::fuzz

#endif  // JACINTHSPOOL_TESTS_FUZZ_FAKE_BACKEND_H_
