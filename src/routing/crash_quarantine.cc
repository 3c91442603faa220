#include "jacinthspool/routing/crash_quarantine.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

/// Rounds in which a reporting gateway sends on what others know of the suspects: one for their
/// replies, one for those that were lost.
constexpr std::uint32_t kMaxEchoes = 2;
/// The trial interval is doubled at most this often.
constexpr std::size_t kMaxDoublings = 12;
/// Fraction of its turn in which a gateway starts a trial, since clocks differ.
constexpr int kTrialTurnDivisor = 2;
/// Servers that end under a request, after which it is not repeated unless its suspects are sound.
constexpr std::size_t kMaxSuspicionsForRepeat = 1;

}  // namespace

crash_quarantine::crash_quarantine(options settings)
    : settings_(std::move(settings)), sound_(settings_.sound), last_contact_(settings_.started) {}

void crash_quarantine::OnServerEnd(const backend_incarnation& server, end_sign sign,
                                   std::span<const crash_suspect> unanswered, instant now) {
  const crash_report* last = FindLast(server);
  const auto since = last != nullptr ? now - last->ended : microseconds(0);
  std::uint32_t episode = last != nullptr ? last->episode : 0;
  if (sign >= end_sign::kDeregistered) {
    if (last == nullptr || since > settings_.latest_confirmation) {
      return;
    }
  } else {
    episode += since > settings_.latest_refutation ? 1 : 0;
    const auto cut = last_cut_.find(server);
    if (cut != last_cut_.end() && now - cut->second <= settings_.together) {
      sign = end_sign::kCutTogether;
    }
    last_cut_[server] = now;
  }
  const crash_key key(server, episode);
  crash_report seen{.server = server,
                    .episode = episode,
                    .sign = sign,
                    .ended = now,
                    .gateways = {settings_.gateway}};
  for (const crash_suspect& suspect : unanswered) {
    seen.suspects[suspect];
  }
  AddStandings(seen);
  if (!unanswered.empty()) {
    echoes_.try_emplace(key, kMaxEchoes);
  }
  const auto [known, added] = reports_.try_emplace(
      key, crash_report{.server = server, .episode = episode, .sign = sign, .ended = now});
  const bool changed = Merge(known->second, seen) || added;
  if (changed) {
    stale_ = true;
    news_ = news_ || echoes_.contains(key);
    LimitReports();
  }
}

crash_report* crash_quarantine::FindLast(const backend_incarnation& server) {
  const auto next = reports_.upper_bound({server, std::numeric_limits<std::uint32_t>::max()});
  if (next == reports_.begin() || std::prev(next)->second.server != server) {
    return nullptr;
  }
  return &std::prev(next)->second;
}

void crash_quarantine::OnHeard(const backend_incarnation& server, instant now) {
  crash_report* report = FindLast(server);
  if (report == nullptr || report->refuted) {
    return;
  }
  const microseconds since = now - report->ended;
  if (since >= settings_.earliest_refutation && since <= settings_.latest_refutation) {
    news_ = news_ || echoes_.contains({server, report->episode}) || Supports(*report);
    report->refuted = true;
    stale_ = true;
  }
}

void crash_quarantine::OnAnswer(std::span<const crash_suspect> suspects, instant now) {
  for (const crash_suspect& suspect : suspects) {
    if (const auto* part = std::get_if<prompt_part>(&suspect.what())) {
      sound_.Add(*part, now);
    }
    bool changed = false;
    for (auto& [server, report] : reports_) {
      const auto named = report.suspects.find(suspect);
      if (named != report.suspects.end() && report.ended < now) {
        changed = !std::exchange(named->second.vouched_since, true) || changed;
      }
    }
    if (changed) {
      stale_ = true;
      news_ = news_ || held_.contains(suspect);
    }
  }
}

void crash_quarantine::OnPeer(std::span<const crash_report> reports,
                              std::span<const suspect_trial> trials, instant now) {
  crash_reports old;
  for (const crash_report& heard : reports) {
    const crash_key key(heard.server, heard.episode);
    if (reports_.contains(key) || now - heard.ended <= settings_.retention) {
      Apply(heard);
    } else if (now - heard.ended <= settings_.held_retention) {
      old.emplace(key, heard);
    }
  }
  ApplyOld(old, now);
  for (const suspect_trial& heard : trials) {
    if (now - heard.sent > settings_.held_retention) {
      continue;
    }
    const auto [known, added] =
        trials_.try_emplace(trial_key(heard.suspect, heard.gateway, heard.number), heard);
    known->second.sent = std::min(known->second.sent, heard.sent);
    peer_news_ = peer_news_ || added;
  }
  while (trials_.size() > settings_.max_trial_records) {
    trials_.erase(std::min_element(
        trials_.begin(), trials_.end(),
        [](const auto& a, const auto& b) { return a.second.sent < b.second.sent; }));
  }
}

void crash_quarantine::ApplyOld(const crash_reports& old, instant now) {
  if (old.empty()) {
    return;
  }
  reports_.insert(old.begin(), old.end());
  stale_ = true;
  static_cast<void>(Held(now));
  for (const auto& [key, report] : old) {
    if (Supports(report)) {
      peer_news_ = true;
    } else {
      // Dropped here as well, by its age: it would be told to and fro otherwise.
      reports_.erase(key);
      stale_ = true;
    }
  }
  LimitReports();
}

void crash_quarantine::OnContact(instant now) {
  last_contact_ = now;
  had_contact_ = true;
}

void crash_quarantine::Apply(const crash_report& heard) {
  const crash_key key(heard.server, heard.episode);
  const auto [known, added] = reports_.try_emplace(key, crash_report{.server = heard.server,
                                                                     .episode = heard.episode,
                                                                     .sign = heard.sign,
                                                                     .ended = heard.ended});
  const bool merged = Merge(known->second, heard) || added;
  const bool changed = AddStandings(known->second) || merged;
  if (!changed) {
    return;
  }
  stale_ = true;
  peer_news_ = true;
  const auto echoes = echoes_.find(key);
  if (echoes != echoes_.end() && echoes->second > 0) {
    --echoes->second;
    news_ = true;
  }
  LimitReports();
}

std::optional<instant> crash_quarantine::LastAnswer(const crash_suspect& suspect) const {
  const auto* part = std::get_if<prompt_part>(&suspect.what());
  return part != nullptr ? sound_.Find(*part) : std::nullopt;
}

bool crash_quarantine::AddStandings(crash_report& report) const {
  bool changed = false;
  for (auto& [suspect, standing] : report.suspects) {
    if (const auto seen = LastAnswer(suspect)) {
      bool& known = *seen > report.ended ? standing.vouched_since : standing.known_good;
      changed = !std::exchange(known, true) || changed;
    }
  }
  return changed;
}

bool crash_quarantine::Supports(const crash_report& report) const {
  return !report.refuted &&
         std::any_of(report.suspects.begin(), report.suspects.end(), [&](const auto& each) {
           return !each.second.vouched_since && held_.contains(each.first);
         });
}

void crash_quarantine::LimitReports() {
  while (reports_.size() > settings_.max_reports) {
    const auto least = std::min_element(
        reports_.begin(), reports_.end(), [&](const auto& left, const auto& right) {
          return std::pair(Supports(left.second), left.second.ended) <
                 std::pair(Supports(right.second), right.second.ended);
        });
    reports_.erase(least);
  }
}

bool crash_quarantine::Settling(instant now) const {
  return settings_.has_peers && !had_contact_ && now - settings_.started <= settings_.settle;
}

bool crash_quarantine::cut_off(instant now) const {
  return settings_.has_peers &&
         now - last_contact_ > (had_contact_ ? settings_.contact_timeout : settings_.settle);
}

const std::map<crash_suspect, crash_cause>& crash_quarantine::Held(instant now) const {
  const bool alone = cut_off(now);
  if (stale_ || now >= recheck_at_ || alone != held_while_cut_off_) {
    crash_rules rules = settings_.rules;
    if (alone) {
      // The crashes that only other gateways have seen are missing.
      rules.outages = 1;
    }
    held_.clear();
    for (crash_cause& found : FindCrashCauses(reports_, rules, now)) {
      held_[found.suspect] = std::move(found);
    }
    recheck_at_ = instant::max();
    for (const auto& [key, report] : reports_) {
      const instant counts_from = report.ended + rules.refutation_time;
      if (counts_from > now && !Counts(report, rules, now) && Counts(report, rules, counts_from)) {
        recheck_at_ = std::min(recheck_at_, counts_from);
      }
    }
    held_while_cut_off_ = alone;
    stale_ = false;
  }
  return held_;
}

std::uint32_t crash_quarantine::TrialCount(const crash_suspect& suspect) const {
  return static_cast<std::uint32_t>(
      std::count_if(trials_.begin(), trials_.end(),
                    [&](const auto& each) { return each.second.suspect == suspect; }));
}

instant crash_quarantine::LastEvidence(const crash_cause& held) const {
  instant last = held.last_crash;
  for (const auto& [key, trial] : trials_) {
    if (trial.suspect == held.suspect) {
      last = std::max(last, trial.sent);
    }
  }
  return last;
}

quarantine_verdict crash_quarantine::Check(std::span<const crash_suspect> suspects,
                                           instant now) const {
  const auto& held = Held(now);
  std::vector<const crash_cause*> found;
  if (!held.empty()) {
    for (const crash_suspect& suspect : suspects) {
      const auto each = held.find(suspect);
      if (each != held.end()) {
        found.push_back(&each->second);
      }
    }
  }
  if (!found.empty()) {
    quarantine_verdict verdict = CheckTrial(*found.front(), now);
    // A request with several held suspects shows nothing of either.
    if (found.size() > 1 && std::holds_alternative<request_trial>(verdict)) {
      verdict = request_held{.evidence = *found.front(),
                             .age = now - found.front()->last_crash,
                             .trials = TrialCount(found.front()->suspect),
                             .retry_after = settings_.trial_turn};
    }
    return verdict;
  }
  if (Settling(now) &&
      std::any_of(suspects.begin(), suspects.end(), [&](const crash_suspect& suspect) {
        return !suspect.is_request() && !LastAnswer(suspect);
      })) {
    return request_unknown{.retry_after = settings_.started + settings_.settle - now};
  }
  return request_admitted{};
}

quarantine_verdict crash_quarantine::CheckTrial(const crash_cause& held, instant now) const {
  const std::uint32_t trials = TrialCount(held.suspect);
  request_held refusal{.evidence = held,
                       .age = now - held.last_crash,
                       .trials = trials,
                       .retry_after = held.last_crash + settings_.held_retention - now};
  if (trials >= settings_.max_trials || held.gateways.empty()) {
    return refusal;
  }
  const std::size_t beyond =
      held.servers - std::min(held.servers, settings_.rules.outages) + trials;
  const microseconds first =
      held.alike.size() > 1 ? settings_.alike_trial_interval : settings_.trial_interval;
  const instant due = LastEvidence(held) + first * (1 << std::min(beyond, kMaxDoublings));
  if (now < due) {
    refusal.retry_after = due - now;
    return refusal;
  }
  if (held.alike.size() > 1) {
    return request_trial{.evidence = held};
  }
  const std::vector<std::string> gateways(held.gateways.begin(), held.gateways.end());
  const auto turn = static_cast<std::size_t>((now - due) / settings_.trial_turn);
  const microseconds into_turn = (now - due) % settings_.trial_turn;
  const std::string& next =
      gateways[RendezvousOrder(held.suspect.Key(), gateways)[(trials + turn) % gateways.size()]];
  if (next == settings_.gateway && into_turn < settings_.trial_turn / kTrialTurnDivisor &&
      !Settling(now)) {
    return request_trial{.evidence = held};
  }
  refusal.retry_after = settings_.trial_turn - into_turn;
  return refusal;
}

void crash_quarantine::OnTrial(const crash_suspect& suspect, instant now) {
  const auto own = static_cast<std::uint32_t>(
      std::count_if(trials_.begin(), trials_.end(), [&](const auto& each) {
        return each.second.suspect == suspect && each.second.gateway == settings_.gateway;
      }));
  trials_[trial_key(suspect, settings_.gateway, own)] = {
      .suspect = suspect, .gateway = settings_.gateway, .number = own, .sent = now};
  news_ = true;
}

std::size_t crash_quarantine::Suspicions(const crash_suspect& suspect) const {
  return static_cast<std::size_t>(
      std::count_if(reports_.begin(), reports_.end(), [&](const auto& each) {
        const auto named = each.second.suspects.find(suspect);
        return !each.second.refuted && named != each.second.suspects.end() &&
               !named->second.vouched_since;
      }));
}

bool crash_quarantine::MayRepeat(std::span<const crash_suspect> suspects, instant now) const {
  const auto& held = Held(now);
  return std::all_of(suspects.begin(), suspects.end(), [&](const crash_suspect& suspect) {
    return !held.contains(suspect) &&
           (LastAnswer(suspect) || Suspicions(suspect) <= kMaxSuspicionsForRepeat);
  });
}

bool crash_quarantine::MustCancel(std::span<const crash_suspect> suspects, instant now) const {
  const auto& held = Held(now);
  return !held.empty() &&
         std::any_of(suspects.begin(), suspects.end(), [&](const crash_suspect& suspect) {
           const auto each = held.find(suspect);
           return each != held.end() && each->second.alike.size() == 1;
         });
}

std::vector<suspect_trial> crash_quarantine::Trials() const {
  std::vector<suspect_trial> all;
  for (const auto& [key, trial] : trials_) {
    all.push_back(trial);
  }
  return all;
}

void crash_quarantine::Expire(instant now) {
  static_cast<void>(Held(now));
  stale_ = std::erase_if(reports_,
                         [&](const auto& each) {
                           const microseconds age = now - each.second.ended;
                           return age > settings_.held_retention ||
                                  (age > settings_.retention && !Supports(each.second));
                         }) > 0 ||
           stale_;
  std::erase_if(echoes_, [&](const auto& each) { return !reports_.contains(each.first); });
  std::erase_if(last_cut_,
                [&](const auto& each) { return now - each.second > settings_.retention; });
  std::erase_if(
      trials_, [&](const auto& each) { return now - each.second.sent > settings_.held_retention; });
}

}  // namespace jacinthspool
