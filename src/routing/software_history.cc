#include "jacinthspool/routing/software_history.h"

namespace jacinthspool {

void software_history::Update(const std::map<std::string, backend_record>& listed, instant now) {
  for (auto& [service, known] : services_) {
    for (auto& [version, last] : known.last) {
      last = last.value_or(now);
    }
    std::erase_if(known.last,
                  [&](const auto& each) { return now - *each.second > settings_.retention; });
  }
  for (const auto& [id, record] : listed) {
    Update(record);
  }
}

void software_history::Update(const backend_record& record) {
  services_[record.service].last[record.software] = std::nullopt;
}

origin_knowledge software_history::EvidenceOf(std::string_view service, const period& begun) const {
  const auto known = services_.find(service);
  if (known == services_.end()) {
    return {};
  }
  origin_knowledge evidence;
  for (const auto& [version, last] : known->second.last) {
    if (last && *last < begun.oldest) {
      continue;
    }
    // An unknown version may be any.
    if (version.empty() || evidence.evidence != origin_evidence::kNone) {
      return {.evidence = origin_evidence::kSeveral};
    }
    const bool complete =
        complete_since_ && *complete_since_ <= begun.oldest && confirmed_ >= begun.newest;
    evidence = {
        .evidence = complete ? origin_evidence::kOnlyVersion : origin_evidence::kSeenVersion,
        .origin = {.service = std::string(service), .software = version}};
  }
  return evidence;
}

}  // namespace jacinthspool
