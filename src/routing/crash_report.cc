#include "jacinthspool/routing/crash_report.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {
namespace {

/// Keeps the suspects with the smallest weights, which differ by server, so that a suspect that is
/// left out of one report stands in others.
void LimitSuspects(crash_report& report) {
  if (report.suspects.size() <= crash_report::kMaxSuspects) {
    return;
  }
  std::vector<std::pair<std::uint64_t, crash_suspect>> weights;
  for (const auto& [suspect, standing] : report.suspects) {
    weights.emplace_back(RendezvousWeight(suspect.Key(), report.server.backend), suspect);
  }
  std::sort(weights.begin(), weights.end());
  for (std::size_t i = crash_report::kMaxSuspects; i < weights.size(); ++i) {
    report.suspects.erase(weights[i].second);
  }
}

/// \returns true when `heard` raised the value.
template <typename Value>
bool Raise(Value& value, Value heard) {
  const bool higher = value < heard;
  value = std::max(value, heard);
  return higher;
}

bool MergeGateways(std::set<std::string>& into, const std::set<std::string>& other) {
  if (std::includes(into.begin(), into.end(), other.begin(), other.end())) {
    return false;
  }
  const std::set<std::string> before = into;
  into.insert(other.begin(), other.end());
  while (into.size() > crash_report::kMaxGateways) {
    into.erase(std::prev(into.end()));
  }
  return into != before;
}

bool MergeSuspects(crash_report& into, const crash_report& other) {
  bool changed = false;
  std::vector<crash_suspect> added;
  for (const auto& [suspect, heard] : other.suspects) {
    const auto [known, is_new] = into.suspects.try_emplace(suspect, heard);
    if (is_new) {
      added.push_back(suspect);
    } else {
      changed = Raise(known->second.known_good, heard.known_good) || changed;
      changed = Raise(known->second.vouched_since, heard.vouched_since) || changed;
    }
  }
  LimitSuspects(into);
  return changed || std::any_of(added.begin(), added.end(), [&](const crash_suspect& suspect) {
           return into.suspects.contains(suspect);
         });
}

}  // namespace

std::string_view ToString(end_sign sign) {
  switch (sign) {
    case end_sign::kClosed:
      return "closed";
    case end_sign::kCut:
      return "cut";
    case end_sign::kCutTogether:
      return "cut together";
    case end_sign::kDeregistered:
      return "deregistered";
    case end_sign::kRefused:
      return "refused";
  }
  return "closed";
}

bool Merge(crash_report& into, const crash_report& other) {
  into.ended = std::min(into.ended, other.ended);
  const bool stronger = Raise(into.sign, other.sign);
  const bool refuted = Raise(into.refuted, other.refuted);
  const bool seen_by_more = MergeGateways(into.gateways, other.gateways);
  const bool learned = MergeSuspects(into, other);
  return stronger || refuted || seen_by_more || learned;
}

}  // namespace jacinthspool
