#include "src/cli/check_command.h"

#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <optional>

#include "src/cli/arguments.h"
#include "src/cli/exit_code.h"
#include "src/settings/document_kind.h"
#include "src/settings/settings.h"

namespace jacinthspool {
namespace {

constexpr const char* kSummary =
    "Checks settings documents and prints every finding with its place.\n"
    "A file holds process settings, the operators' document or a team's document; the kind is "
    "detected from its members, or given by --kind. A team's name is the name of its file without "
    "the extension. When one operators' document is among the files, the teams' references to "
    "pools are checked against it.\n"
    "Exit code: 0 no findings, 1 findings or an unreadable file, 2 usage.";

struct team_document {
  std::string file;
  std::string name;
  std::shared_ptr<const team_settings> settings;
};

/// Checks each file, then the references between the files.
class document_checker {
 public:
  explicit document_checker(std::optional<document_kind> kind) : kind_(kind) {}

  void CheckFile(const std::string& file) {
    std::string error;
    const std::optional<std::string> text = ReadFile(file, error);
    if (!text) {
      PrintError("check: " + error);
      unreadable_ = true;
      return;
    }
    const std::optional<document_kind> kind =
        kind_ ? kind_ : DetectDocumentKind(*text, file, found_);
    if (kind) {
      Parse(file, *text, *kind);
    }
  }

  /// \returns true when there were no findings and every file was readable.
  bool Finish() {
    if (operators_ && operator_files_ == 1) {
      for (const team_document& team : teams_) {
        CheckTeamReferences(team.name, *team.settings, *operators_, team.file, found_);
      }
    }
    std::map<std::string, std::shared_ptr<const team_settings>> earlier;
    for (const team_document& team : teams_) {
      CheckDuplicateTokens(team.name, *team.settings, earlier, team.file, found_);
      earlier[team.name] = team.settings;
    }
    for (const finding& each : found_) {
      std::cout << each.place << ": " << each.text << '\n';
    }
    return found_.empty() && !unreadable_;
  }

 private:
  void Parse(const std::string& file, const std::string& text, document_kind kind) {
    switch (kind) {
      case document_kind::kProcess:
        ParseProcessFile(file, text);
        break;
      case document_kind::kOperators:
        ++operator_files_;
        operators_ = ParseOperators(text, file, found_);
        break;
      case document_kind::kTeam:
        if (auto team = ParseTeam(text, file, found_)) {
          teams_.push_back({file, std::filesystem::path(file).stem().string(), std::move(team)});
        }
        break;
    }
  }

  void ParseProcessFile(const std::string& file, const std::string& text) {
    const auto process = ParseProcess(text, file, found_);
    if (!process) {
      return;
    }
    CheckRole(*process, RoleOf(*process), file, found_);
    CheckEmbeddedReferences(*process, file, found_);
  }

  static process_role RoleOf(const process_settings& process) {
    if (process.gateway) {
      return process_role::kGateway;
    }
    if (process.sidecar) {
      return process_role::kSidecar;
    }
    return process.backend ? process_role::kAgent : process_role::kEntry;
  }

  std::optional<document_kind> kind_;
  findings found_;
  bool unreadable_ = false;
  std::shared_ptr<const operator_settings> operators_;
  int operator_files_ = 0;
  std::vector<team_document> teams_;
};

}  // namespace

int RunCheck(const std::vector<std::string>& arguments) {
  const std::map<std::string, document_kind> kinds{{"process", document_kind::kProcess},
                                                   {"operators", document_kind::kOperators},
                                                   {"team", document_kind::kTeam}};
  std::vector<std::string> names;
  names.reserve(kinds.size());
  for (const auto& [name, kind] : kinds) {
    names.push_back(name);
  }
  TCLAP::CmdLine line(kSummary, ' ', JACINTHSPOOL_VERSION);
  TCLAP::ValuesConstraint<std::string> allowed(names);
  TCLAP::ValueArg<std::string> kind(
      "k", "kind", "Kind of the files; default: detected from content", false, "", &allowed, line);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "Files to check", true, "FILE", line);
  if (const auto code = ParseArguments(line, "check", arguments)) {
    return *code;
  }
  const auto chosen = kinds.find(kind.getValue());
  document_checker checker(chosen == kinds.end() ? std::nullopt : std::optional(chosen->second));
  for (const std::string& file : files.getValue()) {
    checker.CheckFile(file);
  }
  return checker.Finish() ? kExitOk : kExitFailed;
}

}  // namespace jacinthspool
