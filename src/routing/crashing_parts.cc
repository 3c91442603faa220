#include "jacinthspool/routing/crashing_parts.h"

#include <algorithm>

namespace jacinthspool {
namespace {

/// Evidence against one part: the reports that nothing else explains, by time.
struct evidence {
  std::vector<const crash_report*> reports = {};
  bool known_good = false;
};
using evidence_by_part = std::map<prompt_part, evidence>;

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

bool Suffices(const evidence& against, const crash_rules& rules) {
  const std::size_t outages = CountOutages(against.reports, rules.outage_span);
  return against.known_good ? outages >= rules.known_good_outages
                            : outages >= rules.outages || against.reports.size() >= rules.servers;
}

/// \returns true when the evidence against `left` is the stronger.
bool Stronger(const evidence& left, const evidence& right) {
  return std::pair(!left.known_good, left.reports.size()) >
         std::pair(!right.known_good, right.reports.size());
}

evidence_by_part Collect(const std::vector<const crash_report*>& reports) {
  evidence_by_part by_part;
  for (const crash_report* report : reports) {
    for (const auto& [part, standing] : report->parts) {
      evidence& against = by_part[part];
      against.known_good = against.known_good || standing.known_good || standing.vouched_since;
      if (!standing.vouched_since && std::none_of(against.reports.begin(), against.reports.end(),
                                                  [&](const crash_report* other) {
                                                    return other->server == report->server;
                                                  })) {
        against.reports.push_back(report);
      }
    }
  }
  return by_part;
}

crashing_part Describe(prompt_part part, const evidence& against, const crash_rules& rules) {
  crashing_part found{.part = part,
                      .servers = against.reports.size(),
                      .outages = CountOutages(against.reports, rules.outage_span),
                      .last_crash = against.reports.back()->ended};
  for (const crash_report* report : against.reports) {
    found.gateways.insert(report->gateways.begin(), report->gateways.end());
  }
  return found;
}

/// Removes the reports in `explained` from the evidence against all parts.
void Explain(evidence_by_part& by_part, const std::vector<const crash_report*>& explained) {
  const std::set<const crash_report*> gone(explained.begin(), explained.end());
  for (auto& [part, against] : by_part) {
    std::erase_if(against.reports,
                  [&](const crash_report* report) { return gone.contains(report); });
  }
}

/// Adds the parts to which no answer is known and under which so many servers have ended that they
/// may crash servers as well, although other parts explain these.
void AddExplained(std::vector<crashing_part>& found, const evidence_by_part& all,
                  const crash_rules& rules) {
  std::set<prompt_part> known;
  for (const crashing_part& each : found) {
    known.insert(each.part);
  }
  for (const auto& [part, against] : all) {
    if (!known.contains(part) && !against.known_good && against.reports.size() >= rules.servers) {
      found.push_back(Describe(part, against, rules));
      found.back().alike = known;
      found.back().alike.insert(part);
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

std::vector<crashing_part> FindCrashingParts(const crash_reports& reports, const crash_rules& rules,
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
  const evidence_by_part all = Collect(counted);
  evidence_by_part by_part = all;
  std::vector<crashing_part> found;
  while (true) {
    auto worst = by_part.end();
    for (auto each = by_part.begin(); each != by_part.end(); ++each) {
      if (Suffices(each->second, rules) &&
          (worst == by_part.end() || Stronger(each->second, worst->second))) {
        worst = each;
      }
    }
    if (worst == by_part.end()) {
      AddExplained(found, all, rules);
      return found;
    }
    const evidence explained = worst->second;
    std::set<prompt_part> alike;
    for (const auto& [part, against] : by_part) {
      if (against.known_good == explained.known_good && against.reports == explained.reports) {
        alike.insert(part);
      }
    }
    for (const prompt_part part : alike) {
      found.push_back(Describe(part, by_part[part], rules));
      found.back().alike = alike;
    }
    Explain(by_part, explained.reports);
  }
}

}  // namespace jacinthspool
