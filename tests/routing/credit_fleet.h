#ifndef JACINTHSPOOL_TESTS_ROUTING_CREDIT_FLEET_H_
#define JACINTHSPOOL_TESTS_ROUTING_CREDIT_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jacinthspool/routing/tenant_credit.h"

namespace jacinthspool::testing {

/// \brief Gateways and homes in virtual time, one tenant's requests, and the sum that counts.
///
/// The first gateways are the homes. Messages arrive at once or not at all.
struct credit_fleet {
  struct member {
    std::unique_ptr<tenant_credit> credit;
    std::unique_ptr<credit_lender> lender;
    instant up{};  ///< Takes requests from then on.
    int incarnation = 0;
  };
  enum class design { kLent, kEqualShares, kOneCounter };

  design kind = design::kLent;
  tenant_credit::stated_limit of;
  instant now = instant(seconds(100));
  std::mt19937_64 random;
  std::vector<std::string> homes;
  std::vector<member> members;
  std::set<std::pair<std::size_t, std::size_t>> cut;  ///< Gateway and home without contact.
  std::vector<credit_bucket> shares;                  ///< Of the designs to compare with.
  std::deque<std::pair<instant, double>> sent;
  std::vector<std::size_t> callers;  ///< Gateways that the callers use.
  double bound = 0;                  ///< The sum that may be sent in 8 s.
  double worst = 0;                  ///< Largest part of the bound that was sent in 8 s.
  double sent_tokens = 0;
  int asked = 0;
  int refused = 0;

  credit_fleet(std::size_t gateways, double rate, std::uint64_t seed,
               design the_kind = design::kLent)
      : kind(the_kind),
        of{.tenant = "tenant-" + std::to_string(seed % 16),
           .limit = {.per_second = rate, .burst = rate, .unit = limit_unit::kTokens},
           .version = 1},
        random(seed),
        members(gateways) {
    for (std::size_t i = 0; i < std::min<std::size_t>(gateways, 3); ++i) {
      homes.push_back("home-" + std::to_string(i));
    }
    SetBound();
    for (std::size_t i = 0; i < gateways; ++i) {
      callers.push_back(i);
      Restart(i, milliseconds(0));
      shares.emplace_back(rate / static_cast<double>(SharedBy()), now);
    }
    Run(seconds(1), 0, 0);
  }

  [[nodiscard]] std::size_t SharedBy() const {
    return kind == design::kOneCounter ? 1 : members.size();
  }
  void SetBound() { bound = (of.limit.per_second * 8 + of.limit.burst) * 1.25 + 140000; }

  /// \brief The limit of the next version.
  void SetLimit(double rate) {
    of.limit.per_second = of.limit.burst = rate;
    ++of.version;
  }
  void Restart(std::size_t index, microseconds away) {
    member& each = members[index];
    each.credit =
        std::make_unique<tenant_credit>(tenant_credit::options{.homes = homes, .seed = random()});
    each.credit->SetGateways(static_cast<std::uint32_t>(members.size()));
    if (index < homes.size()) {
      each.lender = std::make_unique<credit_lender>(homes[index]);
    }
    each.up = now + away;
    ++each.incarnation;
  }
  [[nodiscard]] std::size_t IndexOf(const std::string& home) const {
    return static_cast<std::size_t>(std::find(homes.begin(), homes.end(), home) - homes.begin());
  }
  [[nodiscard]] credit_member Describe(std::size_t index) const {
    return {.name = "gateway-" + std::to_string(index),
            .gateways = static_cast<std::uint32_t>(members.size()),
            .homes = members[index].credit->Reached()};
  }
  /// \returns The home's side of a message that arrives; null when it is lost.
  credit_lender* Contact(std::size_t from, const std::string& home) {
    const std::size_t to = IndexOf(home);
    if (members[to].up > now || cut.contains({from, to})) {
      members[from].credit->OnNoAnswer(home, now);
      return nullptr;
    }
    members[from].credit->OnContact(home);
    members[to].lender->OnMember(Describe(from), now);
    return members[to].lender.get();
  }

  void Sent(double price, microseconds wait) {
    sent.emplace_back(now + wait, price);
    sent_tokens += price;
  }

  void Request(std::size_t from, double price) {
    ++asked;
    if (kind != design::kLent) {
      credit_bucket& bucket = shares[kind == design::kOneCounter ? 0 : from];
      const double rate = of.limit.per_second / static_cast<double>(SharedBy());
      const double burst = of.limit.burst / static_cast<double>(SharedBy());
      bucket.Fill(rate, burst, now);
      const auto wait = bucket.Take(price, rate, burst);
      refused += wait ? 0 : 1;
      if (wait) {
        Sent(price, *wait);
      }
      return;
    }
    tenant_credit& credit = *members[from].credit;
    payment decided = credit.Pay(of, price, now);
    while (const auto* needed = std::get_if<credit_needed>(&decided)) {
      const credit_needed asking = *needed;
      credit_lender* lender = Contact(from, asking.home);
      decided =
          lender == nullptr
              ? credit.Pay(of, price, now)
              : credit.OnAnswer(asking, lender->Lend(Describe(from).name, asking.ask, now), now);
    }
    if (const auto* paid = std::get_if<credit_paid>(&decided)) {
      Sent(price, paid->wait);
    } else {
      ++refused;
    }
  }

  /// \brief Messages of the gateways to all homes, and credit that returns.
  void Exchange() {
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i].up > now) {
        continue;
      }
      for (const std::string& home : homes) {
        Contact(i, home);
      }
      for (const credit_needed& unused : members[i].credit->TakeUnused(now)) {
        if (credit_lender* lender = Contact(i, unused.home)) {
          (void)lender->Lend(Describe(i).name, unused.ask, now);
        }
      }
    }
  }

  void Measure() {
    while (!sent.empty() && sent.front().first + seconds(8) < now) {
      sent.pop_front();
    }
    double sum = 0;
    for (const auto& [at, price] : sent) {
      sum += at <= now ? price : 0;
    }
    worst = std::max(worst, sum / bound);
  }

  /// \brief Sends requests at that mean rate, for that time.
  /// \param tokens_per_second Of all callers; \param large Part of them in requests of 5,000.
  void Run(microseconds time, double tokens_per_second, double large) {
    constexpr microseconds kStep = milliseconds(10);
    const instant end = now + time;
    const auto count = [&](double price, double part) {
      std::poisson_distribution<int> arrivals(tokens_per_second * part / price * 0.01 + 1e-12);
      return arrivals(random);
    };
    for (; now < end; now += kStep) {
      if (now.time_since_epoch() % milliseconds(500) == microseconds(0)) {
        Exchange();
      }
      for (const auto& [price, part] : {std::pair(5000.0, large), std::pair(200.0, 1 - large)}) {
        for (int left = count(price, part); left > 0; --left) {
          // Callers use another gateway while theirs is away.
          std::size_t to = callers[random() % callers.size()];
          for (std::size_t tries = 0; members[to].up > now && tries < members.size(); ++tries) {
            to = (to + 1) % members.size();
          }
          if (members[to].up <= now) {
            Request(to, price);
          }
        }
      }
      if (now.time_since_epoch() % milliseconds(50) == microseconds(0)) {
        Measure();
      }
    }
  }
  [[nodiscard]] double refused_part() const {
    return refused / std::max(1.0, static_cast<double>(asked));
  }
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_ROUTING_CREDIT_FLEET_H_
