#ifndef JACINTHSPOOL_TESTS_SOAK_STORE_STANDIN_H_
#define JACINTHSPOOL_TESTS_SOAK_STORE_STANDIN_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/transport/http1_server.h"

namespace jacinthspool::testing {

/// \brief The platform's store as its readers see it: ranges, watches, lost history, outages.
class store_standin {
 public:
  enum class conduct {
    kServing,
    kBusy,    ///< Turns every call away with 503.
    kSilent,  ///< Answers nothing.
    kLosing,  ///< Answers every second call only.
  };

  store_standin(event_loop& loop, timer_service& timers);

  [[nodiscard]] std::string address() const;

  /// \brief Writes an item; watches are told in the same turn.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  /// \brief Forgets all changes so far; a watch from before gets 410.
  void Compact();

  void Behave(conduct next);

  /// \brief Keeps a copy of everything as it is now.
  void Copy();
  /// \brief Comes back from the copy: what was written since is lost, and a new era begins.
  void ComeBackFromCopy();
  /// \brief Writes again what was lost and has not been written since.
  void WriteAgain();
  /// \brief From now on all answers bear this era, whatever it is.
  void TellEra(const std::string& text) { told_era_ = text; }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  struct change {
    std::string key;
    item state;
  };
  struct waiting_watch {
    std::string prefix;
    std::uint64_t after = 0;
    std::shared_ptr<http1_answer> answer;
    timer_subscription timeout = {};
  };

  /// \brief What the store holds.
  struct content {
    std::map<std::string, item> items;
    std::deque<change> history;
    std::uint64_t revision = 1;
  };

  void Answer(http1_answer& answer, int status, const std::string& body) const;
  void Take(const http1_request& request, const std::shared_ptr<http1_answer>& answer);
  void Range(const std::string& prefix, http1_answer& answer) const;
  void Watch(waiting_watch watch, milliseconds wait);
  [[nodiscard]] std::string ChangesAfter(const waiting_watch& watch) const;
  void Tell();
  void Change(const std::string& key, item state);

  timer_service& timers_;
  std::string error_;
  std::unique_ptr<http1_server> server_;
  content content_;
  content copy_;
  std::map<std::string, item> lost_;  ///< Items before the last return from a copy.
  std::uint64_t returned_at_ = 0;     ///< The revision at that return.
  std::uint64_t era_ = 1;
  std::optional<std::string> told_era_;
  std::uint64_t oldest_known_ = 1;  ///< Changes after this revision are in the history.
  std::list<waiting_watch> watches_;
  std::list<std::shared_ptr<http1_answer>> unanswered_;
  conduct conduct_ = conduct::kServing;
  std::uint64_t calls_ = 0;
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_SOAK_STORE_STANDIN_H_
