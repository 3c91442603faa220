#include "jacinthspool/routing/configuration_freshness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace jacinthspool {
namespace {

constexpr microseconds kBound = seconds(5);
constexpr instant kStart = instant(seconds(1000));
/// How long a watch of the store waits, and until one that hangs has been replaced.
constexpr milliseconds kWait = milliseconds(1500);
constexpr milliseconds kReplaced = kWait + milliseconds(700 + 100);

bool Admits(const configuration_freshness& freshness, instant now) {
  return std::holds_alternative<configuration_confirmed>(freshness.Check(now));
}

TEST_CASE("requests are admitted by keys while the configuration was newest not long ago") {
  configuration_freshness freshness({.bound = kBound});

  SUBCASE("without tenants nothing is refused") {
    freshness.OnApplied(1, false);
    CHECK(Admits(freshness, kStart));
  }
  SUBCASE("without a bound nothing is refused") {
    freshness.SetBound(microseconds(0));
    freshness.OnApplied(1, true);
    CHECK(Admits(freshness, kStart));
  }
  SUBCASE("with both, nothing is admitted before the first confirmation") {
    freshness.OnApplied(3, true);
    CHECK_FALSE(Admits(freshness, kStart));
    freshness.OnAnswer(kStart);
    CHECK(Admits(freshness, kStart + seconds(4)));
    CHECK_FALSE(freshness.Ages(kStart + milliseconds(3300)));
    CHECK(freshness.Ages(kStart + seconds(4)));

    SUBCASE("and nothing once the bound is near, however long the process was suspended") {
      for (const seconds age : {seconds(5), seconds(500)}) {
        const freshness_verdict verdict = freshness.Check(kStart + age);
        const auto* refused = std::get_if<configuration_unconfirmed>(&verdict);
        REQUIRE(refused != nullptr);
        CHECK(refused->age == age);
        CHECK(refused->retry_after == (age == seconds(5) ? milliseconds(400) : seconds(2)));
      }
    }
    SUBCASE("a call that was sent earlier does not make the confirmation older") {
      freshness.OnAnswer(kStart - seconds(3));
      CHECK(freshness.as_of() == kStart);
    }
    SUBCASE("a newer version keeps the confirmation: it was published later") {
      freshness.OnApplied(4, true);
      CHECK(freshness.as_of() == kStart);
    }
    SUBCASE("a peer's word counts for the same version only") {
      freshness.OnPeer(2, kStart + seconds(3));
      freshness.OnPeer(4, kStart + seconds(3));
      CHECK(freshness.as_of() == kStart);
      freshness.OnPeer(3, kStart + seconds(3));
      CHECK(Admits(freshness, kStart + seconds(7)));
    }
  }
}

/// Gateways, a store and the messages between them, in virtual time and any order.
struct fleet_model {
  /// What a gateway holds; a restart forgets it.
  struct member {
    std::uint64_t version = 0;
    configuration_freshness freshness{{.bound = kBound}};
  };
  /// A call of the store or a question to a peer, which may stay open for any time.
  struct message {
    std::size_t from = 0;
    std::optional<std::size_t> peer = {};  ///< Nothing: the store.
    instant sent{};
    bool handled = false;
    std::uint64_t version = 0;             ///< Of the answer.
    std::optional<microseconds> age = {};  ///< That a peer has stated.
  };
  enum class step { kPass, kPublish, kCallStore, kAskPeer, kHandle, kDeliver, kLose, kRestart };

  instant now = kStart;
  std::vector<instant> published{kStart};  ///< When each version was acknowledged; the first is 1.
  std::array<member, 4> members{};
  std::vector<message> open;
  int admitted = 0;
  int refused = 0;
  int by_peers = 0;  ///< Confirmations that a peer's word has renewed.

  static std::size_t AnyOf(std::size_t count) { return *rc::gen::inRange<std::size_t>(0, count); }

  /// \returns false when some gateway admits requests by a configuration that is too old.
  bool Holds() {
    for (const member& each : members) {
      if (each.version == 0) {
        continue;
      }
      if (!Admits(each.freshness, now)) {
        ++refused;
        continue;
      }
      ++admitted;
      if (each.version < published.size() && now - published[each.version] > kBound) {
        return false;
      }
    }
    return true;
  }

  void Handle(message& to) const {
    if (std::exchange(to.handled, true)) {
      return;
    }
    if (!to.peer) {
      to.version = published.size();
      return;
    }
    const member& asked = members[*to.peer];
    to.version = asked.version;
    if (asked.freshness.as_of()) {
      to.age = now - *asked.freshness.as_of();
    }
  }

  void Deliver(std::size_t index) {
    const message done = open[index];
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
    if (!done.handled) {
      return;  // The call has failed.
    }
    member& to = members[done.from];
    if (done.version > to.version) {
      to.version = done.version;
      to.freshness.OnApplied(done.version, true);
    }
    const auto before = to.freshness.as_of();
    if (!done.peer) {
      to.freshness.OnAnswer(done.sent);
    } else if (done.age) {
      to.freshness.OnPeer(done.version, done.sent - *done.age);
      by_peers += to.freshness.as_of() != before ? 1 : 0;
    }
  }

  void Restart(std::size_t index) {
    members[index] = member();
    std::erase_if(open, [&](const message& each) { return each.from == index; });
  }

  void Step() {
    const step next = *rc::gen::weightedElement<step>({{8, step::kPass},
                                                       {2, step::kPublish},
                                                       {3, step::kCallStore},
                                                       {9, step::kAskPeer},
                                                       {12, step::kHandle},
                                                       {12, step::kDeliver},
                                                       {1, step::kLose},
                                                       {1, step::kRestart}});
    const std::size_t which = AnyOf(members.size());
    if (next == step::kPass) {
      // A process that is suspended does nothing while time passes.
      now += milliseconds(*rc::gen::element(1, 40, 300, 1100, 2600));
    } else if (next == step::kPublish) {
      published.push_back(now);
    } else if (next == step::kCallStore) {
      open.push_back({.from = which, .sent = now});
    } else if (next == step::kAskPeer) {
      open.push_back({.from = which,
                      .peer = (which + 1 + AnyOf(members.size() - 1)) % members.size(),
                      .sent = now});
    } else if (next == step::kRestart) {
      Restart(which);
    } else if (!open.empty()) {
      const std::size_t index = AnyOf(open.size());
      if (next == step::kHandle) {
        Handle(open[index]);
      } else if (next == step::kDeliver) {
        Deliver(index);
      } else {
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
      }
    }
  }
};

TEST_CASE("no order of calls, peers' words and restarts admits by a key taken away too long ago") {
  int admitted = 0;
  int refused = 0;
  int by_peers = 0;
  CHECK(rc::check("keys taken away", [&] {
    fleet_model model;
    const int steps = *rc::gen::inRange(40, 400);
    for (int i = 0; i < steps; ++i) {
      model.Step();
      RC_ASSERT(model.Holds());
    }
    admitted += model.admitted;
    refused += model.refused;
    by_peers += model.by_peers;
  }));
  MESSAGE("admitted " << admitted << ", refused " << refused << ", by peers " << by_peers);
  CHECK(admitted > 500);
  CHECK(refused > 500);
  CHECK(by_peers > 20);
}

TEST_CASE("a circle of peers that have lost the store cannot confirm itself") {
  std::array<configuration_freshness, 3> circle{configuration_freshness({.bound = kBound}),
                                                configuration_freshness({.bound = kBound}),
                                                configuration_freshness({.bound = kBound})};
  for (configuration_freshness& each : circle) {
    each.OnApplied(1, true);
    each.OnAnswer(kStart);
  }
  for (int i = 0; i < 1000; ++i) {
    const instant asked = kStart + milliseconds(10 * i);
    const configuration_freshness& told = circle[static_cast<std::size_t>(i) % 3];
    const microseconds age = asked + milliseconds(3) - *told.as_of();
    circle[static_cast<std::size_t>(i + 1) % 3].OnPeer(1, asked - age);
  }
  for (const configuration_freshness& each : circle) {
    CHECK(each.as_of() == kStart);
  }
}

TEST_CASE("with a sound way to the store nothing is refused, also while one watch hangs") {
  CHECK(rc::check("sound way", [] {
    configuration_freshness freshness({.bound = kBound});
    freshness.OnApplied(1, true);
    freshness.OnAnswer(kStart);
    instant now = kStart;
    bool hung = false;
    for (int i = 0; i < 100; ++i) {
      const instant sent = now;
      const auto round_trip = milliseconds(*rc::gen::inRange(1, 400));
      const bool hangs = !hung && *rc::gen::inRange(0, 4) == 0;
      // After a failure the store answers at once.
      now += hangs ? kReplaced : hung ? round_trip : kWait + round_trip;
      RC_ASSERT(Admits(freshness, now));
      if (!hangs) {
        freshness.OnAnswer(sent);
      }
      hung = hangs;
    }
  }));
}

}  // namespace
}  // namespace jacinthspool
