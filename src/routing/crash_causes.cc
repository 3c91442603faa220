#include "jacinthspool/routing/crash_causes.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace jacinthspool {
namespace {

/// Evidence against one suspect: the reports that nothing else explains, by time.
struct evidence {
  std::vector<const crash_report*> reports = {};
  bool known_good = false;
};
using evidence_by_suspect = std::map<crash_suspect, evidence>;

std::size_t CountOutages(const std::vector<const crash_report*>& reports, microseconds span) {
  std::size_t outages = 0;
  instant begun{};
  for (const crash_report* report : reports) {
    if (outages == 0 || report->ended - begun > span) {
      ++outages;
      begun = report->ended;
    }
  }
  return outages;
}

/// \returns The reports of servers that ended under no request under which another one ended, too.
std::vector<const crash_report*> WithoutRepeatedRequest(
    const std::vector<const crash_report*>& reports, const evidence_by_suspect& by_suspect) {
  std::set<const crash_report*> repeated;
  for (const auto& [suspect, against] : by_suspect) {
    if (suspect.is_request() && against.reports.size() > 1) {
      repeated.insert(against.reports.begin(), against.reports.end());
    }
  }
  std::vector<const crash_report*> others;
  std::copy_if(reports.begin(), reports.end(), std::back_inserter(others),
               [&](const crash_report* report) { return !repeated.contains(report); });
  return others;
}

/// \returns true when servers end for other causes, so that a sound request that is repeated may
/// meet some of them.
bool OthersEnd(const evidence& against, const std::vector<const crash_report*>& others,
               microseconds wave_span) {
  const instant first = against.reports.front()->ended - wave_span;
  const auto since = std::count_if(others.begin(), others.end(), [&](const crash_report* report) {
    return report->ended >= first;
  });
  return static_cast<std::size_t>(since) >= against.reports.size();
}

bool Suffices(const crash_suspect& suspect, const evidence& against,
              const std::vector<const crash_report*>& others, const crash_rules& rules) {
  const std::size_t outages = CountOutages(against.reports, rules.outage_span);
  const std::size_t servers = against.reports.size();
  if (suspect.is_request()) {
    const bool repeated = outages >= rules.request_outages;
    const bool many = servers >= rules.request_servers;
    return (repeated && many) ||
           ((repeated || many) && !OthersEnd(against, others, rules.wave_span));
  }
  return against.known_good ? outages >= rules.known_good_outages
                            : outages >= rules.outages || servers >= rules.servers;
}

/// \returns true when the evidence against `left` is the stronger; of equal evidence, that against
/// a request, which holds back the fewest.
bool Stronger(const evidence_by_suspect::value_type& left,
              const evidence_by_suspect::value_type& right) {
  return std::tuple(!left.second.known_good, left.second.reports.size(), left.first.is_request()) >
         std::tuple(!right.second.known_good, right.second.reports.size(),
                    right.first.is_request());
}

evidence_by_suspect Collect(const std::vector<const crash_report*>& reports) {
  evidence_by_suspect by_suspect;
  for (const crash_report* report : reports) {
    for (const auto& [suspect, standing] : report->suspects) {
      evidence& against = by_suspect[suspect];
      against.known_good = against.known_good || standing.known_good || standing.vouched_since;
      if (!standing.vouched_since && std::none_of(against.reports.begin(), against.reports.end(),
                                                  [&](const crash_report* other) {
                                                    return other->server == report->server;
                                                  })) {
        against.reports.push_back(report);
      }
    }
  }
  return by_suspect;
}

crash_cause Describe(const crash_suspect& suspect, const evidence& against,
                     const crash_rules& rules) {
  crash_cause found{.suspect = suspect,
                    .servers = against.reports.size(),
                    .outages = CountOutages(against.reports, rules.outage_span),
                    .last_crash = against.reports.back()->ended};
  for (const crash_report* report : against.reports) {
    found.gateways.insert(report->gateways.begin(), report->gateways.end());
  }
  return found;
}

/// Removes the reports in `explained` by `cause` from the evidence against all suspects. A part
/// with further reports keeps those of a request that has it: the part may explain all of them.
void Explain(evidence_by_suspect& by_suspect, const crash_suspect& cause,
             const std::vector<const crash_report*>& explained) {
  const std::set<const crash_report*> gone(explained.begin(), explained.end());
  for (auto& [suspect, against] : by_suspect) {
    const auto is_gone = [&](const crash_report* report) { return gone.contains(report); };
    const bool keeps = cause.is_request() && !suspect.is_request() &&
                       !std::all_of(against.reports.begin(), against.reports.end(), is_gone);
    if (!keeps) {
      std::erase_if(against.reports, is_gone);
    }
  }
}

/// Adds the suspects to which no answer is known and under which so many servers have ended that
/// they may crash servers as well, although other suspects explain these.
void AddExplained(std::vector<crash_cause>& found, const evidence_by_suspect& all,
                  const crash_rules& rules) {
  std::set<crash_suspect> known;
  for (const crash_cause& each : found) {
    known.insert(each.suspect);
  }
  const auto is_of_one_request = [&](const evidence& against) {
    return std::any_of(found.begin(), found.end(), [&](const crash_cause& each) {
      const std::vector<const crash_report*>& explained = all.at(each.suspect).reports;
      return each.suspect.is_request() &&
             std::all_of(
                 against.reports.begin(), against.reports.end(), [&](const crash_report* report) {
                   return std::find(explained.begin(), explained.end(), report) != explained.end();
                 });
    });
  };
  for (const auto& [suspect, against] : all) {
    if (!suspect.is_request() && !known.contains(suspect) && !against.known_good &&
        against.reports.size() >= rules.servers && !is_of_one_request(against)) {
      found.push_back(Describe(suspect, against, rules));
      found.back().alike = known;
      found.back().alike.insert(suspect);
    }
  }
}

}  // namespace

bool Counts(const crash_report& report, const crash_rules& rules, instant now) {
  if (report.refuted) {
    return false;
  }
  return report.confirmed() ||
         (report.sign >= end_sign::kCut && now - report.ended >= rules.refutation_time);
}

std::vector<crash_cause> FindCrashCauses(const crash_reports& reports, const crash_rules& rules,
                                         instant now) {
  std::vector<const crash_report*> counted;
  for (const auto& [server, report] : reports) {
    if (Counts(report, rules, now)) {
      counted.push_back(&report);
    }
  }
  std::stable_sort(counted.begin(), counted.end(),
                   [](const crash_report* left, const crash_report* right) {
                     return left->ended < right->ended;
                   });
  const evidence_by_suspect all = Collect(counted);
  evidence_by_suspect by_suspect = all;
  const std::vector<const crash_report*> others = WithoutRepeatedRequest(counted, all);
  std::vector<crash_cause> found;
  while (true) {
    auto worst = by_suspect.end();
    for (auto each = by_suspect.begin(); each != by_suspect.end(); ++each) {
      if (Suffices(each->first, each->second, others, rules) &&
          (worst == by_suspect.end() || Stronger(*each, *worst))) {
        worst = each;
      }
    }
    if (worst == by_suspect.end()) {
      AddExplained(found, all, rules);
      return found;
    }
    const crash_suspect cause = worst->first;
    const evidence explained = worst->second;
    std::set<crash_suspect> alike;
    for (const auto& [suspect, against] : by_suspect) {
      if (suspect.is_request() == cause.is_request() &&
          against.known_good == explained.known_good && against.reports == explained.reports) {
        alike.insert(suspect);
      }
    }
    for (const crash_suspect& suspect : alike) {
      found.push_back(Describe(suspect, by_suspect[suspect], rules));
      found.back().alike = alike;
    }
    Explain(by_suspect, cause, explained.reports);
  }
}

}  // namespace jacinthspool
