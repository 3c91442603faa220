#include "jacinthspool/routing/origin_verdict.h"

namespace jacinthspool {

std::string_view ToString(origin_evidence evidence) {
  switch (evidence) {
    case origin_evidence::kNone:
      return "none";
    case origin_evidence::kNoted:
      return "noted";
    case origin_evidence::kContested:
      return "contested";
    case origin_evidence::kOnlyVersion:
      return "only_version";
    case origin_evidence::kSeenVersion:
      return "seen_version";
    case origin_evidence::kSeveral:
      return "several";
  }
  return "unknown";
}

void origin_verdict::Add(const origin_knowledge& knowledge) {
  switch (knowledge.evidence) {
    case origin_evidence::kNone:
      return;
    case origin_evidence::kContested:
      contested_ = true;
      return;
    case origin_evidence::kNoted:
      contested_ = contested_ || (noted_ && noted_->origin != knowledge.origin);
      noted_ = knowledge;
      return;
    case origin_evidence::kOnlyVersion:
      ++agreeing_;
      [[fallthrough]];
    case origin_evidence::kSeenVersion:
      several_ = several_ || (seen_ && *seen_ != knowledge.origin);
      seen_ = knowledge.origin;
      return;
    case origin_evidence::kSeveral:
      several_ = true;
      return;
  }
}

origin_knowledge origin_verdict::Conclude() const {
  if (contested_) {
    return {.evidence = origin_evidence::kContested};
  }
  if (noted_) {
    return *noted_;
  }
  if (several_) {
    return {.evidence = origin_evidence::kSeveral};
  }
  if (!seen_) {
    return {};
  }
  if (proved_) {
    return {.evidence = origin_evidence::kOnlyVersion, .origin = *seen_};
  }
  // A gateway that nobody tells anything may be the only one that has not heard of a new version.
  const bool heard = settings_.others == 0 || heard_;
  return heard ? origin_knowledge{.evidence = origin_evidence::kSeenVersion, .origin = *seen_}
               : origin_knowledge{};
}

}  // namespace jacinthspool
