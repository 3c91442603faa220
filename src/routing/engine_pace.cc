#include "jacinthspool/routing/engine_pace.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

/// A belief has changed by half when it exceeds the stated one by this factor, or the reverse.
constexpr double kChangeFactor = 1.5;
/// Servers whose reports are kept: more are not listed by any platform in use.
constexpr std::size_t kMaxServers = 4096;

double Faded(microseconds age, microseconds half_life) {
  return std::exp2(-static_cast<double>(std::max(age, microseconds(0)).count()) /
                   static_cast<double>(half_life.count()));
}

/// \brief A total order in which a later report of one reporter is the greater.
auto Order(const pace_report& report) {
  return std::tuple(report.made, report.reporter, report.number, report.event_us, report.events);
}

/// \brief Which of two reports of one reporter holds. The same report has one number on every way,
/// and of its ages, which include the way, the greatest is the nearest to the truth.
bool Replaces(const pace_report& next, const pace_report& known) {
  return std::tuple(next.number, known.made, next.event_us, next.events) >
         std::tuple(known.number, next.made, known.event_us, known.events);
}

bool IsSound(const pace_report& report) {
  return std::isfinite(report.event_us) && report.event_us > 0 && std::isfinite(report.events) &&
         report.events > 0;
}

}  // namespace

engine_pace::engine_pace(options settings)
    : settings_(std::move(settings)),
      self_(static_cast<std::uint32_t>(HashKey(settings_.reporter))) {}

void engine_pace::Insert(std::vector<pace_report>& reports, const pace_report& report) const {
  const auto known = std::find_if(reports.begin(), reports.end(), [&](const pace_report& each) {
    return each.reporter == report.reporter;
  });
  if (known == reports.end()) {
    reports.push_back(report);
  } else if (Replaces(report, *known)) {
    *known = report;
  }
  std::sort(reports.begin(), reports.end(),
            [](const pace_report& a, const pace_report& b) { return Order(a) > Order(b); });
  if (reports.size() > settings_.most_reporters) {
    reports.resize(settings_.most_reporters);
  }
}

void engine_pace::Record(const backend_record& server, double events, microseconds taken,
                         instant now) {
  if (events <= 0 || taken <= microseconds(0)) {
    return;
  }
  const backend_incarnation key{server.id, server.started_ms};
  if (servers_.size() >= kMaxServers && !servers_.contains(key)) {
    return;
  }
  std::vector<pace_report>& reports = servers_[key];
  pace_report own{.reporter = self_};
  for (const pace_report& each : reports) {
    own = each.reporter == self_ ? each : own;
  }
  const double kept = own.events * Faded(now - own.made, settings_.sample_half_life);
  const double time_us = kept * own.event_us + static_cast<double>(taken.count());
  own.events = kept + events;
  own.event_us = time_us / own.events;
  own.number = std::max(own.number + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
  own.made = now;
  Insert(reports, own);
}

void engine_pace::Merge(const std::vector<server_pace>& others, instant now) {
  for (const server_pace& other : others) {
    if (servers_.size() >= kMaxServers && !servers_.contains(other.server)) {
      continue;
    }
    for (const pace_report& report : other.reports) {
      // Its own reports are known here better than anywhere else.
      if (IsSound(report) && report.reporter != self_ && now - report.made < settings_.memory) {
        Insert(servers_[other.server], report);
      }
    }
  }
}

engine_pace::evidence engine_pace::Weigh(const std::vector<pace_report>& reports,
                                         instant now) const {
  std::vector<std::pair<double, double>> weighted;
  double sum = 0;
  evidence found;
  for (const pace_report& report : reports) {
    const double events = std::min(report.events, settings_.most_events);
    const double weight = events * Faded(now - report.made, settings_.fresh_half_life);
    weighted.emplace_back(report.event_us, weight);
    sum += weight;
    found.events += events * Faded(now - report.made, settings_.doubt_half_life);
  }
  std::sort(weighted.begin(), weighted.end());
  double below = 0;
  for (const auto& [event_us, weight] : weighted) {
    found.median_us = event_us;
    below += weight;
    if (below * 2 >= sum) {
      break;
    }
  }
  return found;
}

std::vector<pace_change> engine_pace::Update(const std::map<std::string, backend_record>& listed,
                                             instant now) {
  std::vector<pace_change> changes;
  if (now - calculated_ < settings_.period) {
    return changes;
  }
  calculated_ = now;
  struct service_sum {
    double logs = 0;
    double servers = 0;
  };
  std::map<std::string, service_sum, std::less<>> sums;
  std::map<std::string, evidence> known;
  for (auto each = servers_.begin(); each != servers_.end();) {
    auto& [server, reports] = *each;
    std::erase_if(reports,
                  [&](const pace_report& report) { return now - report.made >= settings_.memory; });
    const auto record = listed.find(server.backend);
    const bool is_listed = record != listed.end() && record->second.started_ms == server.started_ms;
    if (reports.empty() || !is_listed) {
      each = servers_.erase(each);
      continue;
    }
    const evidence found = Weigh(reports, now);
    service_sum& sum = sums[record->second.service];
    sum.logs += std::log(found.median_us);
    ++sum.servers;
    known.emplace(server.backend, found);
    ++each;
  }
  means_us_.clear();
  for (const auto& [service, sum] : sums) {
    means_us_[service] = std::exp(sum.logs / sum.servers);
  }
  std::erase_if(beliefs_, [&](const auto& each) { return !known.contains(each.first); });
  for (const auto& [id, found] : known) {
    const backend_record& record = listed.at(id);
    const double mean = means_us_.at(record.service);
    const double trust = found.events / (found.events + settings_.doubt_events);
    const auto [at, is_new] = beliefs_.try_emplace(id);
    belief& held = at->second;
    held.event_us = std::exp(trust * std::log(found.median_us) + (1 - trust) * std::log(mean));
    held.stated_us = is_new ? mean : held.stated_us;
    const double ratio = held.event_us / held.stated_us;
    if (ratio < kChangeFactor && ratio * kChangeFactor > 1) {
      continue;
    }
    const auto& reports = servers_.at({id, record.started_ms});
    changes.push_back({.backend = id,
                       .before = microseconds(std::llround(held.stated_us)),
                       .after = microseconds(std::llround(held.event_us)),
                       .reporters = reports.size(),
                       .events = found.events,
                       .age = now - reports.front().made});
    held.stated_us = held.event_us;
    held.changed = now;
    news_until_ = now + settings_.news_life;
  }
  return changes;
}

std::vector<server_pace> engine_pace::News(std::size_t most_servers, std::uint64_t random,
                                           instant now) const {
  const auto is_new = [&](const backend_incarnation& server) {
    const auto held = beliefs_.find(server.backend);
    return held != beliefs_.end() && now - held->second.changed < settings_.news_life;
  };
  std::vector<std::tuple<bool, std::uint64_t, const backend_incarnation*>> order;
  order.reserve(servers_.size());
  for (const auto& [server, reports] : servers_) {
    order.emplace_back(!is_new(server), HashKey(server.backend, random), &server);
  }
  const std::size_t count = std::min(most_servers, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
  std::vector<server_pace> news;
  for (std::size_t i = 0; i < count; ++i) {
    const backend_incarnation& server = *std::get<2>(order[i]);
    news.push_back({.server = server, .reports = servers_.at(server)});
  }
  return news;
}

std::vector<pace_report> engine_pace::Reports(const backend_incarnation& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? std::vector<pace_report>() : found->second;
}

std::optional<double> engine_pace::Share(const backend_record& server) const {
  const auto mean = means_us_.find(server.service);
  if (mean == means_us_.end()) {
    return std::nullopt;
  }
  const auto held = beliefs_.find(server.id);
  const double speed = held == beliefs_.end() ? 1 : mean->second / held->second.event_us;
  return std::clamp(std::pow(speed, settings_.speed_power), 1 / settings_.most_share,
                    settings_.most_share);
}

std::optional<microseconds> engine_pace::EventTime(const std::string& id) const {
  const auto held = beliefs_.find(id);
  return held == beliefs_.end() ? std::nullopt
                                : std::optional(microseconds(std::llround(held->second.event_us)));
}

std::optional<stream_pace::sample> stream_pace::OnEvents(const std::string& server,
                                                         std::uint64_t last_event, instant now) {
  if (server != server_ || last_event < first_event_) {
    server_ = server;
    first_event_ = last_event;
    since_ = now;
    return std::nullopt;
  }
  const std::uint64_t events = last_event - first_event_;
  if (events < settings_.least_events || now - since_ < settings_.piece) {
    return std::nullopt;
  }
  const sample piece{.events = static_cast<double>(events), .taken = now - since_};
  first_event_ = last_event;
  since_ = now;
  return piece;
}

}  // namespace jacinthspool
