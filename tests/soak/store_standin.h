#ifndef JACINTHSPOOL_TESTS_SOAK_STORE_STANDIN_H_
#define JACINTHSPOOL_TESTS_SOAK_STORE_STANDIN_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/transport/http1_server.h"
#include "tests/transport/any_answer.h"

namespace jacinthspool::testing {

/// \brief Simulated store of the platform: range reads, watches, compaction, eras and outages.
class store_standin {
 public:
  enum class behaviour {
    kServing,
    kBusy,      ///< Rejects every call with 503.
    kSilent,    ///< Answers no call.
    kDropping,  ///< Answers only every second call.
  };

  store_standin(event_loop& loop, timer_service& timers);

  [[nodiscard]] std::string address() const;

  /// \brief Writes an item and answers the watches on it immediately.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// \brief Writes an item whose JSON text in replies is given, whatever it is.
  void PutText(const std::string& key, const std::string& text);
  /// \brief Sets the largest number of items of one page of a range read.
  void SetPageSize(std::size_t items) { page_size_ = items; }

  /// \brief Discards the history of changes; a watch from an earlier revision is answered with 410.
  void Compact();

  void SetBehaviour(behaviour next);

  /// \brief Loses the answers of the waiting watches, whose connections stay open and silent.
  void LoseWatches();

  /// \brief Closes the connection of each watch that has waited for that long; nothing: of none.
  void CutWatchesAfter(std::optional<milliseconds> wait) { cut_after_ = wait; }

  /// \brief Makes a backup of the current content.
  void BackUp();
  /// \brief Restores the backup: later writes are lost, and a new era begins.
  void RestoreBackup();
  /// \brief Repeats the lost writes and removals of all keys that have not been written since.
  void RewriteLostItems();
  /// \brief Sets the era that all later answers report, also if it is wrong or malformed.
  void SetReportedEra(const std::string& text) { reported_era_ = text; }
  /// \returns Number of calls so far.
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
    std::string text = {};  ///< JSON text in replies; empty: encoded from the members above.
  };
  struct change {
    std::string key;
    item state;
  };
  struct waiting_watch {
    std::string prefix;
    std::uint64_t after = 0;
    std::shared_ptr<any_answer> answer;
    timer_subscription timeout = {};
  };

  /// \brief Content of the store.
  struct content {
    std::map<std::string, item> items;
    std::deque<change> history;
    std::uint64_t revision = 1;
  };

  void Answer(any_answer& answer, int status, const std::string& body) const;
  void Handle(const http1_request& request, const std::shared_ptr<any_answer>& answer);
  void Range(const std::string& prefix, const std::string& after, any_answer& answer) const;
  void Watch(waiting_watch watch, milliseconds wait);
  [[nodiscard]] std::string ChangesAfter(const waiting_watch& watch) const;
  void NotifyWatches();
  void Change(const std::string& key, item state);

  timer_service& timers_;
  std::string error_;
  std::unique_ptr<http1_server> server_;
  content content_;
  content backup_;
  std::map<std::string, item> lost_items_;  ///< Items before the last restore.
  std::uint64_t restored_revision_ = 0;     ///< The revision after that restore.
  std::uint64_t era_ = 1;
  std::optional<std::string> reported_era_;
  std::uint64_t oldest_known_ = 1;  ///< Changes after this revision are in the history.
  std::list<waiting_watch> watches_;
  std::list<std::shared_ptr<any_answer>> unanswered_;
  std::list<std::shared_ptr<any_answer>> lost_;  ///< Never answered.
  behaviour behaviour_ = behaviour::kServing;
  std::optional<milliseconds> cut_after_;
  std::uint64_t calls_ = 0;
  std::size_t page_size_ = std::numeric_limits<std::size_t>::max();
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_SOAK_STORE_STANDIN_H_
