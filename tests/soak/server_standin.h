#ifndef JACINTHSPOOL_TESTS_SOAK_SERVER_STANDIN_H_
#define JACINTHSPOOL_TESTS_SOAK_SERVER_STANDIN_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/transport/http1_server.h"

namespace jacinthspool::testing {

/// \brief What all backend servers of one soak have seen of each request.
struct run_ledger {
  struct entry {
    int runs = 0;               ///< Times that it has begun to run.
    int arrivals = 0;           ///< Times that it was sent to be run.
    int accepted_prefills = 0;  ///< The first is free of the repeat budget.
    int refused_prefills = 0;
  };
  std::map<std::string, entry> requests;
  std::set<std::string> kv_handles;  ///< KV caches that can be taken, once each.
  std::uint64_t last_name = 0;

  /// \returns Arrivals that the budget of repeats has to pay for.
  [[nodiscard]] int Repeats() const;
};

/// \brief A backend server of the platform: plain, or an engine that prefills or decodes.
class server_standin {
 public:
  enum class role { kPlain, kPrefill, kDecode };
  enum class conduct {
    kGood,
    kFull,     ///< Refuses with the promise that nothing has run.
    kFailing,  ///< Runs and answers 500.
    kSilent,   ///< Runs and answers nothing.
  };
  static constexpr int kEvents = 100;                    ///< Of each stream.
  static constexpr std::uint64_t kMemoryTokens = 60000;  ///< Of each engine.

  struct options {
    event_loop& loop;
    timer_service& timers;
    run_ledger& ledger;
    std::string id;
    role kind = role::kPlain;
  };

  explicit server_standin(const options& settings);

  [[nodiscard]] std::string address() const;
  [[nodiscard]] const std::string& id() const { return settings_.id; }
  [[nodiscard]] role kind() const { return settings_.kind; }
  void Behave(conduct next) { conduct_ = next; }

  /// \returns The runs and held seats that still take memory, by name; empty when there are none.
  [[nodiscard]] std::string Occupants();
  /// \returns true while a run of the request takes memory.
  [[nodiscard]] bool Runs(const std::string& request);
  /// \returns When the last request came to be run; the epoch if none has.
  [[nodiscard]] instant last_arrival() const { return last_arrival_; }

 private:
  struct run {
    std::string request;
    http_headers headers;
    std::shared_ptr<http1_answer> answer;
    int next_event = 1;
    std::uint64_t tokens = 0;
    timer_subscription timer = {};
    bool gone = false;
  };
  struct hold {
    std::uint64_t tokens = 0;
    timer_subscription life = {};
  };

  void Take(const http1_request& request, const std::shared_ptr<http1_answer>& answer);
  void TakeHold(const http1_request& request, http1_answer& answer);
  void Prefill(const http1_request& request, http1_answer& answer);
  void Run(const http1_request& request, const std::shared_ptr<http1_answer>& answer);
  void SendEvent(run& streaming);
  void Sweep();
  [[nodiscard]] std::uint64_t Used() const;

  options settings_;
  std::string error_;
  std::unique_ptr<http1_server> server_;
  conduct conduct_ = conduct::kGood;
  std::list<run> runs_;
  std::map<std::string, hold> holds_;
  std::map<std::string, timer_subscription> handles_;
  instant last_arrival_{};
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_SOAK_SERVER_STANDIN_H_
