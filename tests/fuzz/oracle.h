#ifndef JACINTHSPOOL_TESTS_FUZZ_ORACLE_H_
#define JACINTHSPOOL_TESTS_FUZZ_ORACLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool::fuzz {

/// \brief Records accepted requests, executions and answers, and reports broken invariants.
class oracle {
 public:
  struct accepted_request {
    std::string expected;  ///< The complete answer; empty for calls.
    bool repeatable = true;
    std::string key;
    std::string delivered = {};
    std::string final_outcome = {};  ///< Empty until the request has ended.
    std::optional<instant> caller_disconnected = std::nullopt;
    bool entry_lost = false;
    std::uint32_t executions = 0;
    bool mismatch_reported =
        false;  ///< A delivered text differed from `expected` and was reported.
  };

  void Accepted(request_id id, accepted_request request) { requests_[id] = std::move(request); }
  void CallerGone(request_id id, instant now);
  /// \brief Records that an entry failed; the callers of its requests no longer wait.
  void EntryLost(incarnation_id entry, instant now);

  /// \brief Records that a backend server started to run the request.
  void Executed(request_id id);
  void Delivered(request_id id, const std::string& text);
  void Done(request_id id);
  void CallDone(request_id id, const std::string& body);
  void NotRun(request_id id);
  void Ended(request_id id, const std::string& outcome);

  /// \brief Reports memory that is held longer than `limit` after its caller disconnected.
  void CheckHolding(request_id id, const std::string& backend, instant now, microseconds limit);
  /// \brief Checks that each connected caller has a final outcome; called after all faults ended.
  void CheckAllAnswered();
  void Violation(const std::string& text);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] const std::map<request_id, accepted_request>& requests() const { return requests_; }
  [[nodiscard]] std::map<std::string, std::size_t> outcomes() const;

 private:
  /// \returns The request if it has no final outcome yet; otherwise reports `what` and
  /// returns nullptr.
  accepted_request* FindOpen(request_id id, const std::string& what);

  std::map<request_id, accepted_request> requests_;
  std::map<std::string, std::uint32_t> key_executions_;
  std::vector<std::string> violations_;
};

}  // namespace jacinthspool::fuzz

#endif  // JACINTHSPOOL_TESTS_FUZZ_ORACLE_H_
