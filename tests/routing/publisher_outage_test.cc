#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "jacinthspool/routing/backend_list.h"

namespace jacinthspool {
namespace {

constexpr milliseconds kStep = milliseconds(10);
constexpr milliseconds kHeartbeat = milliseconds(1200);
constexpr milliseconds kChangeBound = milliseconds(2000);
constexpr milliseconds kSlack = milliseconds(700);
constexpr milliseconds kStable = milliseconds(3000);
constexpr milliseconds kExpiryPeriod = milliseconds(250);
constexpr milliseconds kLength = seconds(60);
constexpr int kServers = 6;

enum class store_state { kServing, kRefusing, kSilent };

std::ostream& operator<<(std::ostream& out, store_state state) {
  return out << static_cast<int>(state);
}

/// What happens to the publisher from one moment on.
struct change_of_store {
  milliseconds after{};  ///< Since the change before.
  store_state state = store_state::kServing;
  std::optional<milliseconds> cuts_after = {};  ///< Each watch that has waited for so long.
};

struct server {
  std::string id = {};
  bool listed = true;
  instant next_write{};
  instant last_write{};
  std::optional<instant> leaves = {};  ///< Its entry is removed, as a planned change.
};

/// Plays a publisher, its servers and the watch of one gateway.
class played_publisher {
 public:
  /// \param strict A removal before an outage is in force as soon as the gateway is in touch again.
  played_publisher(std::vector<change_of_store> changes, const std::vector<milliseconds>& removals,
                   bool strict)
      : changes_(std::move(changes)), strict_(strict) {
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back({.id = std::to_string(i),
                          .next_write = now_ + kHeartbeat * i / kServers,
                          .last_write = now_});
    }
    for (std::size_t i = 0; i < removals.size() && i < servers_.size(); ++i) {
      servers_[i].leaves = now_ + removals[i];
    }
    std::vector<backend_record> records;
    for (const server& each : servers_) {
      records.push_back({.id = each.id, .published = 1});
    }
    list_.PublisherLost();
    list_.PublisherRegained(now_);
    list_.Replace(std::move(records), revision_, now_);
  }

  void Play() {
    const instant end = now_ + kLength;
    for (instant next_expiry = now_; now_ < end; now_ += kStep) {
      ChangeStore();
      for (server& each : servers_) {
        Live(each);
      }
      Watch();
      if (now_ >= next_expiry) {
        list_.Expire(now_);
        next_expiry += kExpiryPeriod;
      }
      Check();
    }
  }

 private:
  void ChangeStore() {
    if (next_change_ < changes_.size() && now_ >= changed_at_ + changes_[next_change_].after) {
      changed_at_ = now_;
      const change_of_store& change = changes_[next_change_++];
      if (state_ != store_state::kServing || change.state != store_state::kServing) {
        disturbed_at_ = now_;
      }
      lost_poll_ = lost_poll_ || change.state == store_state::kSilent;
      // Servers have not had the two seconds since its return, which the gateway can't know yet.
      unknowable_ =
          unknowable_ || (change.state == store_state::kSilent && now_ - regained_at_ < seconds(2));
      state_ = change.state;
      cuts_after_ = change.cuts_after;
    }
    if (state_ != store_state::kServing) {
      disturbed_at_ = now_;
    }
  }

  void Write(server& each, bool listed) {
    each.listed = listed;
    history_.push_back({.id = each.id, .listed = listed, .revision = ++revision_});
  }

  void Live(server& each) {
    const bool leaves = each.leaves && now_ >= *each.leaves;
    if (!leaves && now_ >= each.next_write) {
      each.next_write += kHeartbeat;
      if (state_ == store_state::kServing) {
        each.last_write = now_;
        if (!each.listed) {
          Write(each, true);
        }
      }
    }
    const bool silent = now_ - each.last_write >= 3 * kHeartbeat;
    if (each.listed && (silent || (leaves && state_ == store_state::kServing))) {
      Write(each, false);
      if (leaves && !silent && now_ - disturbed_at_ >= kStable) {
        acknowledged_[each.id] = now_;
      }
    }
  }

  void Fail(milliseconds delay) {
    list_.PublisherLost();
    lost_ = true;
    cut_ = false;
    ++failures_;
    polls_ = false;
    next_call_ = now_ + delay;
  }

  void Cut() {
    cut_ = true;
    polls_ = false;
    repeated_ = std::max(now_, repeated_ + kChangeBound / 3);
    next_call_ = repeated_;
  }

  void Answer() {
    failures_ = 0;
    cut_ = false;
    polls_ = false;
    next_call_ = now_;
    if (std::exchange(lost_, false)) {
      list_.PublisherRegained(now_);
      regained_at_ = now_;
      unknown_until_ = std::exchange(unknowable_, false) ? now_ + seconds(2) : unknown_until_;
    }
    for (; applied_ < history_.size(); ++applied_) {
      const entry& each = history_[applied_];
      if (each.listed) {
        list_.Put({.id = each.id, .published = each.revision});
      } else {
        list_.Remove(each.id, each.revision, now_);
      }
      next_call_ = now_ + kChangeBound / 3;
    }
  }

  void Watch() {
    if (!polls_ && now_ >= next_call_) {
      polls_ = true;
      lost_poll_ = state_ == store_state::kSilent;
      sent_ = now_;
      wait_ = failures_ > 0 || cut_ ? kStep : kChangeBound;
    }
    if (!polls_) {
      return;
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(now_ - sent_);
    const milliseconds backoff =
        std::min(milliseconds(100) * (1 << std::min(failures_, 4)), milliseconds(1600));
    const bool refused = state_ == store_state::kRefusing;
    const bool unanswered = lost_poll_ || state_ == store_state::kSilent;
    const bool cut = refused ? waited > kStep : cuts_after_ && waited >= *cuts_after_;
    if (!refused && !unanswered && (applied_ < history_.size() || waited >= wait_)) {
      Answer();
    } else if (cut && !unanswered && failures_ == 0 && !cut_) {
      Cut();
    } else if (refused || (unanswered && waited >= wait_ + kSlack)) {
      Fail(backoff);
    }
  }

  void Check() const {
    for (const server& each : servers_) {
      const bool used = list_.backends().contains(each.id);
      if (!each.leaves || now_ < *each.leaves) {
        RC_ASSERT(used || unknowable_ || now_ < unknown_until_);
      }
      const auto found = acknowledged_.find(each.id);
      if (found == acknowledged_.end() || now_ < found->second + kChangeBound) {
        continue;
      }
      if (disturbed_at_ < found->second || (strict_ && now_ - disturbed_at_ >= kStable)) {
        RC_ASSERT_FALSE(used);
      }
    }
  }

  struct entry {
    std::string id = {};
    bool listed = false;
    std::uint64_t revision = 0;
  };

  std::vector<change_of_store> changes_;
  bool strict_;
  std::size_t next_change_ = 0;
  instant now_{seconds(100)};
  instant changed_at_ = now_;
  instant disturbed_at_ = now_ - kStable;
  store_state state_ = store_state::kServing;
  std::optional<milliseconds> cuts_after_ = {};
  std::uint64_t revision_ = 1;
  std::vector<entry> history_ = {};
  std::size_t applied_ = 0;
  std::vector<server> servers_ = {};
  std::map<std::string, instant> acknowledged_ = {};  ///< Planned removals at a stable store.
  backend_list list_{{}};
  bool polls_ = false;
  bool lost_poll_ = false;  ///< The answer of the call in progress is lost.
  instant sent_{};
  milliseconds wait_{};
  int failures_ = 0;
  instant next_call_ = now_;
  bool lost_ = false;
  bool unknowable_ = false;  ///< Answers are lost again, soon after an outage.
  instant unknown_until_{};
  instant regained_at_{};
  bool cut_ = false;  ///< The call before was cut.
  instant repeated_{};
};

change_of_store DrawChange(bool outages) {
  const auto after = milliseconds(*rc::gen::inRange(0, 9000));
  const auto state = outages ? *rc::gen::element(store_state::kServing, store_state::kServing,
                                                 store_state::kRefusing, store_state::kSilent)
                             : store_state::kServing;
  const auto cuts = *rc::gen::inRange(-1000, 2100);
  return {.after = after,
          .state = state,
          .cuts_after = cuts < 0 ? std::nullopt : std::optional(milliseconds(cuts))};
}

void Play(bool outages, bool strict) {
  std::vector<change_of_store> changes(*rc::gen::inRange<std::size_t>(1, 20));
  for (change_of_store& each : changes) {
    each = DrawChange(outages);
  }
  std::vector<milliseconds> removals(3);
  for (milliseconds& each : removals) {
    each = milliseconds(*rc::gen::inRange(3000, 55000));
  }
  played_publisher(changes, removals, strict).Play();
}

// DRAIN: cuts of waiting watches deferred removals without end.
TEST_CASE("removals are in force in time, and no sound server is dropped, whatever ends a call") {
  SUBCASE("while the publisher cuts watches that wait") {
    CHECK(rc::check([] { Play(false, true); }));
  }
  SUBCASE("while it also refuses calls and loses answers") {
    CHECK(rc::check([] { Play(true, false); }));
  }
}

// DRAIN: the grace period begins late after an outage that follows a removal.
TEST_CASE("a removal just before an outage is in force three seconds after the outage") {
  CHECK(rc::check([] { Play(true, true); }));
}

}  // namespace
}  // namespace jacinthspool
