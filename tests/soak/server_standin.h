#ifndef JACINTHSPOOL_TESTS_SOAK_SERVER_STANDIN_H_
#define JACINTHSPOOL_TESTS_SOAK_SERVER_STANDIN_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/transport/http1_server.h"
#include "tests/limit_rule.h"
#include "tests/transport/any_answer.h"

namespace jacinthspool::testing {

/// \brief Runs and retries of each request at all backend servers of one soak.
struct run_record {
  struct entry {
    int runs = 0;               ///< Number of times that the request began to run.
    int arrivals = 0;           ///< Number of times that a server received the request to run it.
    int accepted_prefills = 0;  ///< The first is not charged to the retry budget.
    int rejected_prefills = 0;
    std::string ran_at;  ///< The server and time of each run.
  };
  std::map<std::string, entry> requests;
  std::set<std::string> kv_handles;  ///< KV caches that can be read, once each.
  std::uint64_t last_name = 0;

  /// \returns The number of sends that are charged to the retry budget.
  [[nodiscard]] int Retries() const;
};

/// \brief Simulated backend server: a plain service, or a prefill or decode engine.
class server_standin {
 public:
  enum class role { kPlain, kPrefill, kDecode };
  enum class behaviour {
    kHealthy,
    kFull,     ///< Rejects requests with the statement that they have not run.
    kFailing,  ///< Runs requests and answers 500.
    kSilent,   ///< Runs requests and does not answer.
  };
  static constexpr int kEvents = 100;                    ///< Events of each stream.
  static constexpr std::uint64_t kMemoryTokens = 60000;  ///< Memory of each engine.

  struct options {
    event_loop& loop;
    timer_service& timers;
    run_record& record;
    std::string id;
    role kind = role::kPlain;
    instant started{};  ///< Times of runs are told from here.
    /// \returns The gateway that sent the caller's request of that id; empty: unknown.
    std::function<std::string(const std::string& id)> gateway_of;
    /// Called when gateways that know the server's limit exceed it.
    std::function<void(const std::string& detail)> on_limit_exceeded;
  };

  explicit server_standin(const options& settings);

  [[nodiscard]] std::string address() const;
  [[nodiscard]] const std::string& id() const { return settings_.id; }
  [[nodiscard]] role kind() const { return settings_.kind; }
  void SetBehaviour(behaviour next) { behaviour_ = next; }
  /// \brief Takes requests but sends nothing for that time, and then goes on with all answers.
  void Pause(microseconds length);
  [[nodiscard]] bool paused() const { return resume_.active(); }
  /// \brief States a request limit in all answers from now on; nothing: none.
  void SetLimit(std::optional<double> per_second);
  /// \brief States that text in place of the limit, which stays in force; empty: the limit again.
  void SetLimitText(std::string text) { limit_text_ = std::move(text); }
  [[nodiscard]] limit_rule& rule() { return rule_; }

  /// \returns The names of the runs and reservations that still use memory; empty if there are
  /// none.
  [[nodiscard]] std::string MemoryHolders();
  /// \returns true while a run of the request uses memory.
  [[nodiscard]] bool IsRunning(const std::string& request);
  /// \returns The time at which the last request to run arrived; the epoch if there was none.
  [[nodiscard]] instant last_arrival() const { return last_arrival_; }

 private:
  struct run {
    std::string request;
    std::shared_ptr<any_answer> answer;
    bool begun = false;
    int next_event = 1;
    std::uint64_t tokens = 0;
    timer_subscription timer = {};
    bool ended = false;
  };
  struct reservation {
    std::uint64_t tokens = 0;
    timer_subscription expiry = {};
  };

  /// \brief Calls `send` now, or at the end of the pause.
  void SendWhenAwake(std::function<void()> send);
  void CheckLimit(const http1_request& request);
  /// \returns Headers of an answer that is sent now; they state the limit.
  http_headers ResponseHeaders(const std::string& id);
  void Reject(const http1_request& request, const std::shared_ptr<any_answer>& answer, int status);
  void Handle(const http1_request& request, const std::shared_ptr<any_answer>& answer);
  void Reserve(const http1_request& request, const std::shared_ptr<any_answer>& answer);
  void Prefill(const http1_request& request, const std::shared_ptr<any_answer>& answer);
  void Run(const http1_request& request, const std::shared_ptr<any_answer>& answer);
  void SendPlainAnswer(run& plain);
  void BeginStream(run& streaming);
  void SendEvent(run& streaming);
  void RemoveEndedRuns();
  [[nodiscard]] std::uint64_t UsedTokens() const;

  options settings_;
  std::string error_;
  std::unique_ptr<http1_server> server_;
  behaviour behaviour_ = behaviour::kHealthy;
  timer_subscription resume_;
  std::vector<std::function<void()>> held_;  ///< Answers to send at the end of the pause.
  limit_rule rule_;
  std::string limit_text_;
  std::list<run> runs_;
  std::map<std::string, reservation> reservations_;
  std::map<std::string, timer_subscription> handles_;
  instant last_arrival_{};
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_SOAK_SERVER_STANDIN_H_
