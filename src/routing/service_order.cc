#include "jacinthspool/routing/service_order.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace jacinthspool {
namespace {

/// Groups of a service above which those without recent requests are forgotten.
constexpr std::size_t kMaxIdleGroups = 64;
constexpr double kNegligible = 1e-3;

/// \returns The services for which requests of several priorities or tenants wait.
std::set<std::string_view> ContendedServices(const std::vector<service_order::waiting>& requests) {
  std::map<std::string_view, const service_claim*> first;
  std::set<std::string_view> contended;
  for (const auto& each : requests) {
    const auto [found, added] = first.try_emplace(each.service, each.claim);
    if (!added && !each.claim->IsOfSameGroup(*found->second)) {
      contended.insert(each.service);
    }
  }
  return contended;
}

}  // namespace

void recent_amount::Add(double amount, microseconds half_life, instant now) {
  amount_ = At(half_life, now) + amount;
  updated_ = now;
}

double recent_amount::At(microseconds half_life, instant now) const {
  const std::chrono::duration<double> age = now - updated_;
  return amount_ * std::exp2(-age / std::chrono::duration<double>(half_life));
}

double service_order::fair_share::StartOf(std::string_view tenant) const {
  const auto found = finished.find(tenant);
  return found == finished.end() ? time : std::max(time, found->second);
}

void service_order::OnAsked(std::string_view service, const service_claim& claim, double amount,
                            instant now) {
  service_state& state = services_[std::string(service)];
  for (demand* each :
       {&state.total, &state.by_priority[claim.priority], &state.by_tenant[claim.tenant]}) {
    each->asked.Add(amount, settings_.half_life, now);
  }
  Forget(state, now);
}

void service_order::OnGranted(std::string_view service, const service_claim& claim, double amount,
                              instant now) {
  service_state& state = services_[std::string(service)];
  for (demand* each :
       {&state.total, &state.by_priority[claim.priority], &state.by_tenant[claim.tenant]}) {
    each->granted.Add(amount, settings_.half_life, now);
  }
  fair_share& share = state.shares[claim.priority];
  const double start = share.StartOf(claim.tenant);
  share.time = start;
  share.finished[claim.tenant] = start + amount;
  std::erase_if(share.finished, [&](const auto& each) { return each.second <= share.time; });
}

void service_order::Forget(service_state& state, instant now) const {
  const auto idle = [&](const auto& each) {
    return each.second.asked.At(settings_.half_life, now) < kNegligible;
  };
  if (state.by_priority.size() > kMaxIdleGroups) {
    std::erase_if(state.by_priority, idle);
    std::erase_if(state.shares,
                  [&](const auto& each) { return !state.by_priority.contains(each.first); });
  }
  if (state.by_tenant.size() > kMaxIdleGroups) {
    std::erase_if(state.by_tenant, idle);
  }
}

double service_order::OwedTo(const demand& group, const service_state& state, instant now) const {
  const auto recent = [&](const recent_amount& amount) {
    return amount.At(settings_.half_life, now);
  };
  const double asked = recent(state.total.asked);
  const double mean = asked > 0 ? std::min(1.0, recent(state.total.granted) / asked) : 0;
  return settings_.guaranteed_part * mean * recent(group.asked) - recent(group.granted);
}

std::vector<service_order::waiting> service_order::Sort(std::vector<waiting> requests,
                                                        instant now) const {
  const std::set<std::string_view> contended = ContendedServices(requests);
  if (contended.empty()) {
    std::ranges::sort(requests, {}, [](const waiting& each) {
      return std::tuple(each.urgency, each.claim->priority, each.number);
    });
    return requests;
  }
  const auto is_new = [&](const waiting& each) {
    return contended.contains(each.service) && !each.claim->came_back;
  };
  std::ranges::sort(requests, {}, [&](const waiting& each) {
    return std::tuple(each.urgency, each.claim->priority, is_new(each), each.number);
  });

  using place = std::tuple<request_urgency, bool, request_priority, bool, double, std::uint64_t>;
  std::vector<std::pair<place, waiting>> places;
  places.reserve(requests.size());
  std::map<std::tuple<std::string_view, request_priority, std::string_view>, double> starts;
  std::map<std::pair<std::string_view, request_priority>, double> owed_to_priority;
  std::map<std::pair<std::string_view, std::string_view>, double> owed_to_tenant;
  for (const waiting& each : requests) {
    const service_claim& claim = *each.claim;
    double start = 0;
    bool owed = false;
    const auto state = services_.find(each.service);
    if (contended.contains(each.service) && state != services_.end()) {
      const service_state& known = state->second;
      const auto share = known.shares.find(claim.priority);
      const fair_share fresh;
      const fair_share& fair = share == known.shares.end() ? fresh : share->second;
      double& next =
          starts
              .try_emplace({each.service, claim.priority, claim.tenant}, fair.StartOf(claim.tenant))
              .first->second;
      start = next - fair.time;
      next += each.amount;
      const auto lacks = [&](auto& owed_amounts, auto key, const auto& groups, const auto& group) {
        const auto [amount, added] = owed_amounts.try_emplace({each.service, key}, 0.0);
        if (const auto found = groups.find(group); added && found != groups.end()) {
          amount->second = OwedTo(found->second, known, now);
        }
        const bool lacking = amount->second >= each.amount;
        amount->second -= each.amount;
        return lacking;
      };
      const std::string_view tenant = claim.tenant;
      const bool priority_lacks =
          lacks(owed_to_priority, claim.priority, known.by_priority, claim.priority);
      const bool tenant_lacks = lacks(owed_to_tenant, tenant, known.by_tenant, tenant);
      owed = priority_lacks || tenant_lacks;
    }
    places.emplace_back(
        place(each.urgency, !owed, claim.priority, is_new(each), start, each.number), each);
  }
  std::ranges::sort(places, {}, [](const auto& each) -> const place& { return each.first; });
  std::ranges::transform(places, requests.begin(), [](const auto& each) { return each.second; });
  return requests;
}

instant return_times::Reserve(const request& asked) {
  std::map<request_priority, instant>& last = last_[asked.service];
  std::erase_if(last, [&](const auto& each) {
    return each.first != asked.priority && each.second + asked.interval < asked.earliest;
  });
  instant next = std::max(asked.earliest, last[asked.priority] + asked.interval);
  for (const auto& [priority, until] : last) {
    if (priority < asked.priority) {
      next = std::max(next, until + asked.interval);
    }
  }
  next = std::min(next, asked.latest);
  last[asked.priority] = next;
  return next;
}

}  // namespace jacinthspool
