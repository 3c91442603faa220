#include "jacinthspool/routing/send_limiter.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <random>

#include "jacinthspool/routing/request_rate_meter.h"
#include "tests/limit_rule.h"

namespace jacinthspool {
namespace {

constexpr std::uint64_t kSeed = 28;
const backend_record kServer{.id = "i-1", .service = "plain"};
const std::map<std::string, backend_record> kServers{{"i-1", kServer}};

/// Gateways in virtual time that exchange reports over three of them, and one limited server.
///
/// Callers arrive at each gateway at random and wait for up to `kPatience`.
struct fleet_simulation {
  struct member {
    std::string name;
    std::unique_ptr<send_limiter> limiter;
    request_rate_meter traffic{{}};
    double requests_per_second = 0;
    std::deque<instant> waiting = {};
    instant next_exchange{};
    instant next_update{};
    instant told{};  ///< When it gets to know the limit.
    bool stopped = false;
    bool cut_off = false;  ///< From the other gateways.
  };
  static constexpr milliseconds kPatience = milliseconds(300);
  static constexpr milliseconds kStep = milliseconds(10);
  static constexpr milliseconds kUpdatePeriod = milliseconds(250);

  std::mt19937_64 random{kSeed};
  testing::limit_rule rule;
  std::vector<member> members;
  instant now{seconds(1000)};
  double limit = 0;
  std::size_t violations = 0;
  std::size_t sent = 0;
  /// Called before each step.
  std::function<void()> on_step = [] {};

  /// \param busiest Requests a second at the first gateway; the others get less and less.
  fleet_simulation(int gateways, double busiest, split_strategy split = traffic_split{}) {
    for (int i = 0; i < gateways; ++i) {
      member added{.name = "g" + std::to_string(i), .limiter = nullptr};
      added.limiter = std::make_unique<send_limiter>(
          send_limiter::options{.gateway = added.name, .split = split});
      added.requests_per_second = busiest / (1 + i % 4);
      added.next_exchange = now + microseconds(static_cast<std::int64_t>(random() % 800'000));
      members.push_back(std::move(added));
    }
  }

  /// \brief The server names the limit to one gateway after the other, within half a second.
  void Name(double per_second) {
    limit = per_second;
    rule.Name(per_second, now);
    for (member& each : members) {
      each.told = now + microseconds(static_cast<std::int64_t>(random() % 500'000));
    }
  }

  void Exchange(member& from, member& with) {
    if (from.cut_off || with.stopped || with.cut_off) {
      return;
    }
    from.limiter->fleet().OnContact(now);
    for (member* to : {&from, &with}) {
      member& other = to == &from ? with : from;
      for (const auto& [name, report] : other.limiter->fleet().reports()) {
        to->limiter->fleet().OnReport(report);
      }
      to->limiter->fleet().SetGateways(static_cast<std::uint32_t>(members.size()));
    }
  }

  void Step(member& each) {
    if (each.stopped) {
      return;
    }
    send_limiter& limiter = *each.limiter;
    if (each.told != instant{} && now >= each.told) {
      limiter.limits().OnReply("i-1", 0, rate_limited{.per_second = limit}, now, now);
      rule.OnAnswer(each.name, each.told);
      each.told = {};
      each.next_update = now;
    }
    if (now >= each.next_exchange) {
      each.next_exchange = now + milliseconds(800);
      Exchange(each, members[random() % std::min<std::size_t>(members.size(), 3)]);
    }
    if (now >= each.next_update) {
      each.next_update = now + kUpdatePeriod;
      limiter.fleet().OnReport(
          {.name = each.name, .request_rates = each.traffic.Rates(now), .made = now});
      limiter.Update(kServers, now);
    }
    std::bernoulli_distribution arrives(
        std::min(1.0, each.requests_per_second * std::chrono::duration<double>(kStep).count()));
    if (arrives(random)) {
      each.traffic.OnRequest("plain", now);
      each.waiting.push_back(now);
    }
    while (!each.waiting.empty() && now - each.waiting.front() > kPatience) {
      each.waiting.pop_front();
    }
    while (!each.waiting.empty() && limiter.MaySend(kServer, 1, now)) {
      each.waiting.pop_front();
      limiter.OnSend(kServer, 1, now);
      ++sent;
      violations += rule.OnArrival(each.name, now) ? 1 : 0;
    }
  }

  void Run(seconds time) {
    for (const instant end = now + time; now < end; now += kStep) {
      on_step();
      for (member& each : members) {
        Step(each);
      }
    }
  }

  /// \returns The share of the limit that is used in the time.
  double UsedShare(seconds time) {
    const std::size_t before = sent;
    Run(time);
    return static_cast<double>(sent - before) / (limit * static_cast<double>(time.count()));
  }
};

TEST_CASE("the shares of all gateways add up to less than the limit, whatever their number") {
  for (const int gateways : {1, 2, 4, 12, 29, 103}) {
    for (const double limit : {0.0, 0.3, 1.6, 3.5, 40.0}) {
      CAPTURE(gateways);
      CAPTURE(limit);
      gateway_fleet fleet({});
      for (int i = 0; i < gateways; ++i) {
        fleet.OnReport({.name = "g" + std::to_string(i),
                        .request_rates = {{"plain", i % 5 * 1.5}},
                        .made = instant{seconds(1)}});
      }
      double rate = 0;
      double burst = 0;
      for (int i = 0; i < gateways; ++i) {
        const limit_share share = ShareOfLimit(traffic_split{}, fleet,
                                               {.gateway = "g" + std::to_string(i),
                                                .backend = "i-1",
                                                .service = "plain",
                                                .per_second = limit});
        rate += share.per_second;
        burst += share.burst;
      }
      CHECK(rate <= std::max(limit, 0.2));
      CHECK(rate >= 0.8 * limit);
      CHECK(4 * rate + burst <= 1.5 * 4 * limit + 5);
    }
  }
}

TEST_CASE("many gateways in virtual time keep the limit of one server and use it") {
  for (const int gateways : {1, 2, 4, 29, 103}) {
    for (const double limit : {0.3, 1.6, 3.5, 25.0}) {
      CAPTURE(gateways);
      CAPTURE(limit);
      fleet_simulation fleet(gateways, std::max(10.0, 8 * limit / gateways));
      fleet.Run(seconds(4));
      fleet.Name(limit);
      fleet.Run(seconds(8));
      const double used = fleet.UsedShare(seconds(40));
      CHECK(fleet.violations == 0);
      CHECK(used <= 1.5);
      if (limit > 1) {
        CHECK(used >= 0.8);
      }
    }
  }
}

TEST_CASE("the limit holds while gateways stop, return, or are cut off from the others") {
  fleet_simulation fleet(6, 12);
  fleet.Run(seconds(4));
  fleet.Name(4);
  int step = 0;
  SUBCASE("one is stopped and started again without what it knew") {
    fleet.on_step = [&] {
      auto& restarted = fleet.members[1];
      if (++step == 800) {
        restarted.stopped = true;
        fleet.rule.Excuse(restarted.name);
      } else if (step == 1000) {
        restarted.stopped = false;
        restarted.waiting.clear();
        restarted.limiter =
            std::make_unique<send_limiter>(send_limiter::options{.gateway = restarted.name});
        restarted.limiter->fleet().SetGateways(128);
        restarted.told = fleet.now + milliseconds(100);
      }
    };
  }
  SUBCASE("one is cut off for a minute") {
    fleet.on_step = [&] {
      ++step;
      fleet.members[2].cut_off = step > 800 && step < 6800;
    };
  }
  SUBCASE("the limit falls and rises") {
    fleet.on_step = [&] {
      if (++step % 500 == 0) {
        fleet.Name(step % 1000 == 0 ? 6 : 2);
      }
    };
  }
  fleet.Run(seconds(80));
  CHECK(fleet.violations == 0);
}

TEST_CASE("an equal split wastes the shares of gateways without callers") {
  const auto used = [](split_strategy split) {
    fleet_simulation fleet(4, 0, split);
    fleet.members[0].requests_per_second = 40;
    fleet.members[1].requests_per_second = 10;
    fleet.Run(seconds(4));
    fleet.Name(8);
    fleet.Run(seconds(8));
    return fleet.UsedShare(seconds(30));
  };
  CHECK(used(equal_split{}) < 0.6);
  CHECK(used(traffic_split{}) >= 0.8);
}

TEST_CASE("a gateway that knows few others takes a small share") {
  gateway_fleet fleet({});
  fleet.OnReport({.name = "g0", .request_rates = {{"plain", 9}}, .made = instant{seconds(1)}});
  fleet.SetGateways(128);
  const limit_share share =
      ShareOfLimit(traffic_split{}, fleet,
                   {.gateway = "g0", .backend = "i-1", .service = "plain", .per_second = 100});
  CHECK(share.per_second <= 100.0 / 128);
  CHECK(ShareOfLimit(traffic_split{}, fleet,
                     {.gateway = "g0", .backend = "i-1", .service = "plain", .per_second = 3})
            .per_second == 0);
}

TEST_CASE("a limit belongs to one incarnation and ends with a later answer that lacks it") {
  const instant start{seconds(100)};
  const auto at = [&](int ms) { return start + milliseconds(ms); };
  named_limits limits({});
  using change = named_limits::change;
  CHECK(limits.OnReply("i-1", 7, rate_unlimited{}, at(0), at(10)) == change::kNone);
  CHECK(limits.OnReply("i-1", 7, rate_limited{3}, at(0), at(10)) == change::kNamed);
  CHECK(limits.OnReply("i-1", 7, rate_limited{3}, at(0), at(20)) == change::kNone);
  CHECK(limits.Find("i-1", 7) == 3);

  SUBCASE("an answer to a request that was sent before it was stated lifts nothing") {
    CHECK(limits.OnReply("i-1", 7, rate_unlimited{}, at(15), at(30)) == change::kNone);
    CHECK(limits.OnReply("i-1", 7, rate_unlimited{}, at(25), at(30)) == change::kLifted);
    CHECK_FALSE(limits.any());
  }
  SUBCASE("neither does an unreadable one, or one that states nothing") {
    CHECK(limits.OnReply("i-1", 7, rate_unreadable{"x"}, at(25), at(30)) == change::kNone);
    CHECK(limits.OnReply("i-1", 7, rate_unstated{}, at(25), at(30)) == change::kNone);
    CHECK(limits.Find("i-1", 7) == 3);
  }
  SUBCASE("another incarnation has none, and an answer of the former changes nothing") {
    CHECK_FALSE(limits.Find("i-1", 8));
    CHECK(limits.OnReply("i-1", 8, rate_limited{5}, at(25), at(30)) == change::kNamed);
    CHECK(limits.OnReply("i-1", 7, rate_limited{1}, at(25), at(40)) == change::kNone);
    CHECK(limits.Find("i-1", 8) == 5);
  }
  SUBCASE("the newest of what gateways have heard holds") {
    CHECK(limits.OnPeer({"i-1", 7, 9.0, at(15)}) == change::kNone);
    CHECK(limits.OnPeer({"i-1", 7, std::nullopt, at(40)}) == change::kLifted);
    CHECK(limits.OnPeer({"i-2", 1, 2.0, at(40)}) == change::kNamed);
  }
  SUBCASE("it is forgotten when nothing is heard for long") {
    limits.Expire(at(700'000));
    CHECK(limits.all().empty());
  }
}

TEST_CASE("a bucket starts empty, and a limit without a share sends nothing") {
  const instant start{seconds(100)};
  send_limiter limiter({.gateway = "g0"});
  CHECK(limiter.MaySend(kServer, 1, start));
  CHECK(limiter.ReadyAt(kServer, 1, start) == start);
  limiter.fleet().OnReport({.name = "g0", .made = start});
  limiter.limits().OnReply("i-1", 0, rate_limited{2}, start, start);
  CHECK_FALSE(limiter.MaySend(kServer, 1, start));  // Also before the share is computed.
  limiter.Update(kServers, start);
  CHECK_FALSE(limiter.MaySend(kServer, 1, start));
  const auto ready = limiter.ReadyAt(kServer, 1, start);
  REQUIRE(ready);
  CHECK(limiter.MaySend(kServer, 1, *ready));
  limiter.OnSend(kServer, 1, *ready);
  CHECK_FALSE(limiter.MaySend(kServer, 1, *ready));
  CHECK(limiter.Usage(*ready).front().sent_in_window == 1);
  limiter.OnUnsent(kServer, 1, *ready);
  CHECK(limiter.MaySend(kServer, 1, *ready));
  CHECK(limiter.Usage(*ready).front().sent_in_window == 0);
  limiter.OnSend(kServer, 1, *ready);

  limiter.fleet().SetGateways(128);
  limiter.Update(kServers, *ready);
  CHECK_FALSE(limiter.ReadyAt(kServer, 1, *ready));
  limiter.limits().OnReply("i-1", 0, rate_unlimited{}, *ready + seconds(1), *ready + seconds(1));
  limiter.Update(kServers, *ready + seconds(1));
  CHECK(limiter.MaySend(kServer, 1, *ready + seconds(1)));
}

}  // namespace
}  // namespace jacinthspool
