#include "src/settings/settings_store.h"

#include <xxhash.h>

#include <map>
#include <optional>
#include <utility>

#include "src/settings/name_checks.h"

namespace jacinthspool {
namespace {

constexpr std::string_view kOperatorsPath = "operators";
constexpr std::string_view kTeamPrefix = "teams/";
/// Largest reply with documents, unless its only document is larger; the peer requests the rest
/// in the next exchange.
constexpr std::size_t kMaxReplyBytes = 2U << 20U;

/// \returns The team's name in "teams/NAME", or nothing.
std::optional<std::string> TeamOf(std::string_view path) {
  if (!path.starts_with(kTeamPrefix)) {
    return std::nullopt;
  }
  const std::string_view name = path.substr(kTeamPrefix.size());
  if (!IsName(name)) {
    return std::nullopt;
  }
  return std::string(name);
}

std::uint64_t HashOf(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// State of one path.
struct subtree {
  std::uint64_t revision = 0;  ///< 0: nothing in force.
  std::string text;
  std::uint64_t last_rejected = 0;  ///< Hash of the last rejected text, reported once.
};

}  // namespace

struct settings_store::state {
  options settings;
  std::map<std::string, subtree> subtrees;
  std::shared_ptr<const settings_snapshot> current;

  void Report(const findings& found) const {
    if (!found.empty() && settings.on_findings) {
      settings.on_findings(found);
    }
  }

  /// Reports why a text was rejected, unless the same text was the last rejected at this path.
  void Reject(const std::string& path, const std::string& text, const findings& found) {
    subtree& entry = subtrees[path];
    const std::uint64_t hash = HashOf(text, 0);
    if (entry.last_rejected != hash) {
      entry.last_rejected = hash;
      Report(found);
    }
  }

  /// \returns true when the revision may be applied; otherwise reports the reason.
  bool IsNewer(const std::string& path, const std::string& text, std::uint64_t revision) {
    const subtree& known = subtrees[path];
    if (revision > known.revision) {
      return true;
    }
    const std::string in_force = std::to_string(known.revision);
    if (revision < known.revision) {
      Reject(path, text,
             {{path + ":revision", std::to_string(revision) + " is lower than " + in_force +
                                       ", which is in force; it is not applied"}});
    } else if (text != known.text) {
      Reject(path, text,
             {{path + ":revision", in_force + " is in force with another text; a change needs a "
                                              "higher revision"}});
    }
    return false;
  }

  void Apply(const std::string& path, const std::string& text, std::uint64_t revision,
             std::shared_ptr<const settings_snapshot> next) {
    subtrees[path] = {.revision = revision, .text = text};
    current = std::move(next);
    if (settings.on_change) {
      settings.on_change(current);
    }
  }

  /// Reports a team's references to pools that it cannot use; its document is applied nevertheless.
  void ReportReferences(const std::string& team) const {
    if (current->operators->revision == 0) {
      return;
    }
    findings found;
    CheckTeamReferences(team, *current->teams.at(team), *current->operators,
                        std::string(kTeamPrefix) + team, found);
    Report(found);
  }

  /// Reports tokens of a team that another team has as well.
  void ReportDuplicateTokens(const std::string& team) const {
    findings found;
    CheckDuplicateTokens(team, *current->teams.at(team), current->teams,
                         std::string(kTeamPrefix) + team, found);
    Report(found);
  }

  bool OfferOperators(const std::string& path, const std::string& text) {
    findings found;
    auto parsed = ParseOperators(text, path, found);
    if (!parsed) {
      Reject(path, text, found);
      return false;
    }
    const std::uint64_t revision = parsed->revision;
    if (!IsNewer(path, text, revision)) {
      return false;
    }
    auto next = std::make_shared<settings_snapshot>(*current);
    next->operators = std::move(parsed);
    Apply(path, text, revision, std::move(next));
    for (const auto& [team, document] : current->teams) {
      ReportReferences(team);
    }
    return true;
  }

  bool OfferTeam(const std::string& path, const std::string& team, const std::string& text) {
    findings found;
    auto parsed = ParseTeam(text, path, found);
    if (!parsed) {
      Reject(path, text, found);
      return false;
    }
    const std::uint64_t revision = parsed->revision;
    if (!IsNewer(path, text, revision)) {
      return false;
    }
    auto next = std::make_shared<settings_snapshot>(*current);
    next->teams[team] = std::move(parsed);
    Apply(path, text, revision, std::move(next));
    ReportReferences(team);
    ReportDuplicateTokens(team);
    return true;
  }
};

settings_store::settings_store(options settings) : state_(std::make_unique<state>()) {
  state_->settings = std::move(settings);
  auto operators = std::make_shared<operator_settings>();
  operators->timing = std::make_shared<timing_settings>();
  operators->limits = std::make_shared<limit_settings>();
  auto initial = std::make_shared<settings_snapshot>();
  initial->operators = std::move(operators);
  state_->current = std::move(initial);
}

settings_store::~settings_store() = default;

bool settings_store::Offer(const std::string& path, const std::string& text) {
  const auto known = state_->subtrees.find(path);
  if (known != state_->subtrees.end() && known->second.text == text && known->second.revision > 0) {
    return false;
  }
  if (path == kOperatorsPath) {
    return state_->OfferOperators(path, text);
  }
  const std::optional<std::string> team = TeamOf(path);
  if (!team) {
    state_->Report({{path, "is neither 'operators' nor 'teams/NAME'"}});
    return false;
  }
  return state_->OfferTeam(path, *team, text);
}

std::shared_ptr<const settings_snapshot> settings_store::current() const { return state_->current; }

std::uint64_t settings_store::digest() const {
  std::uint64_t digest = 0;
  for (const auto& [path, known] : state_->subtrees) {
    if (known.revision > 0) {
      digest = HashOf(path, digest ^ known.revision);
    }
  }
  return digest;
}

settings_versions settings_store::Versions() const {
  settings_versions versions;
  for (const auto& [path, known] : state_->subtrees) {
    if (known.revision > 0) {
      auto version = std::make_shared<subtree_revision>();
      version->path = path;
      version->revision = known.revision;
      versions.subtrees.push_back(std::move(version));
    }
  }
  return versions;
}

settings_fetch settings_store::MissingFrom(const settings_versions& peer_versions) const {
  settings_fetch wanted;
  for (const auto& version : peer_versions.subtrees) {
    const auto known = state_->subtrees.find(version->path);
    const std::uint64_t own_revision = known == state_->subtrees.end() ? 0 : known->second.revision;
    if (version->revision > own_revision) {
      wanted.paths.push_back(version->path);
    }
  }
  return wanted;
}

settings_documents settings_store::Documents(const settings_fetch& request) const {
  settings_documents reply;
  std::size_t bytes = 0;
  for (const std::string& path : request.paths) {
    const auto known = state_->subtrees.find(path);
    if (known == state_->subtrees.end() || known->second.revision == 0) {
      continue;
    }
    bytes += known->second.text.size();
    if (bytes > kMaxReplyBytes && !reply.documents.empty()) {
      break;
    }
    auto document = std::make_shared<settings_document>();
    document->path = path;
    document->revision = known->second.revision;
    document->text = known->second.text;
    reply.documents.push_back(std::move(document));
  }
  return reply;
}

}  // namespace jacinthspool
