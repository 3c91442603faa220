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

/// \brief Knows what was accepted, executed, answered and held, and which promise was broken.
class oracle {
 public:
  struct accepted_request {
    std::string expected;  ///< The whole answer; empty for calls.
    bool repeatable = true;
    std::string key;
    std::string delivered = {};
    std::string final_outcome = {};  ///< Empty while there is none.
    std::optional<instant> caller_gone = std::nullopt;
    bool entry_lost = false;
    std::uint32_t executions = 0;
    bool spoilt = false;  ///< A wrong text was delivered, and reported.
  };

  void Accepted(request_id id, accepted_request request) { requests_[id] = std::move(request); }
  void CallerGone(request_id id, instant now);
  /// \brief The entry of these requests died; nobody waits for them any more.
  void EntryLost(incarnation_id entry, instant now);

  /// \brief A backend server began to run the request.
  void Executed(request_id id);
  void Delivered(request_id id, const std::string& text);
  void Done(request_id id);
  void CallDone(request_id id, const std::string& body);
  void NotRun(request_id id);
  void Ended(request_id id, const std::string& outcome);

  /// \brief Checks that no memory is held too long for a caller that has gone.
  void Holding(request_id id, const std::string& backend, instant now, microseconds limit);
  /// \brief After everything has healed: each caller that waits must have its final outcome.
  void CheckAllAnswered();
  void Violation(const std::string& text);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] const std::map<request_id, accepted_request>& requests() const { return requests_; }
  [[nodiscard]] std::map<std::string, std::size_t> outcomes() const;

 private:
  accepted_request* Open(request_id id, const std::string& what);

  std::map<request_id, accepted_request> requests_;
  std::map<std::string, std::uint32_t> key_executions_;
  std::vector<std::string> violations_;
};

}  // namespace jacinthspool::fuzz

#endif  // JACINTHSPOOL_TESTS_FUZZ_ORACLE_H_
