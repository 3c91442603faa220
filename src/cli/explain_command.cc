#include "src/cli/explain_command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string_view>

#include "jacinthspool/impl/time.h"
#include "src/cli/arguments.h"
#include "src/cli/exit_code.h"
#include "src/cli/text_table.h"

namespace jacinthspool {
namespace {

constexpr const char* kSummary =
    "Prints the decisions about one request in chronological order, with the candidate backend "
    "servers, their quotes or refusals, the choice and its reason; or, for the id of a backend "
    "server, what each gateway knew of its request limit and sent to it, and what its sidecar "
    "ordered or withheld.\n"
    "LOGFILE holds JSON log lines, of one process or of several, concatenated; '-' is standard "
    "input.\n"
    "Exit code: 0 done, 1 unreadable file or nothing about the request in it, 2 usage.";

constexpr const char* kIndent = "    ";

std::string TextOf(const nlohmann::json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// \returns Milliseconds with one decimal.
std::string Milliseconds(microseconds value) {
  constexpr std::int64_t kTenthsPerMillisecond = 10;
  const std::int64_t tenths =
      std::chrono::duration_cast<std::chrono::duration<std::int64_t, std::ratio<1, 10000>>>(value)
          .count();
  return std::to_string(tenths / kTenthsPerMillisecond) + "." +
         std::to_string(tenths % kTenthsPerMillisecond) + " ms";
}

/// "can start in 12.0 ms, 2048 tokens cached", or the reason of the refusal.
std::string QuoteOf(const nlohmann::json& candidate) {
  const std::string refusal = TextOf(candidate, "refusal");
  if (!refusal.empty()) {
    return "refused: " + refusal;
  }
  std::string quote = "no quote";
  const auto start = candidate.find("start_in_us");
  if (start != candidate.end() && start->is_number_integer()) {
    quote = "can start in " + Milliseconds(microseconds(start->get<std::int64_t>()));
  }
  const auto cached = candidate.find("cached_tokens");
  if (cached != candidate.end() && cached->is_number_unsigned() && *cached > 0) {
    quote += ", " + cached->dump() + " tokens cached";
  }
  return quote;
}

void PrintCandidates(const nlohmann::json& line, std::ostream& out) {
  const auto candidates = line.find("candidates");
  if (candidates == line.end() || !candidates->is_array()) {
    return;
  }
  text_table table;
  for (const nlohmann::json& candidate : *candidates) {
    if (candidate.is_object()) {
      table.Add({kIndent + TextOf(candidate, "backend"), QuoteOf(candidate)});
    }
  }
  table.Print(out);
}

/// Fields that the headline of a line already contains.
bool IsInHeadline(std::string_view field) {
  constexpr std::string_view kFields[] = {"time",    "level",    "process",   "event",
                                          "request", "decision", "attempt",   "team",
                                          "choice",  "reason",   "candidates"};
  return std::find(std::begin(kFields), std::end(kFields), field) != std::end(kFields);
}

std::string Headline(const nlohmann::json& line) {
  const std::string decision = TextOf(line, "decision");
  std::string text = TextOf(line, "time") + "  " + TextOf(line, "process") + "  " +
                     (decision.empty() ? TextOf(line, "event") : decision);
  const auto attempt = line.find("attempt");
  if (attempt != line.end() && attempt->is_number()) {
    text += " (attempt " + attempt->dump() + ")";
  }
  const std::string choice = TextOf(line, "choice");
  const std::string reason = TextOf(line, "reason");
  text += choice.empty() ? "" : ": " + choice;
  text += reason.empty() ? "" : " because " + reason;
  return text;
}

void PrintLine(const nlohmann::json& line, std::ostream& out) {
  out << Headline(line) << '\n';
  PrintCandidates(line, out);
  for (const auto& [field, value] : line.items()) {
    if (!IsInHeadline(field)) {
      out << kIndent << field << " = "
          << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
    }
  }
}

bool IsAboutLimit(const nlohmann::json& line) {
  return TextOf(line, "event").starts_with("backend_limit");
}

bool IsAboutOrder(const nlohmann::json& line) {
  return TextOf(line, "event").starts_with("stage_order");
}

/// \returns true for a line about the request, or about the backend server's request limit or the
/// orders to it.
bool IsAbout(const nlohmann::json& line, const std::string& id) {
  return TextOf(line, "request") == id ||
         (TextOf(line, "backend") == id && (IsAboutLimit(line) || IsAboutOrder(line)));
}

/// \returns What the lines about a backend server tell of it.
std::string_view MatterOf(const std::vector<nlohmann::json>& lines) {
  const bool limit = std::any_of(lines.begin(), lines.end(), IsAboutLimit);
  const bool order = std::any_of(lines.begin(), lines.end(), IsAboutOrder);
  return limit && order ? "request limit of and orders to"
         : order        ? "orders to"
                        : "request limit of";
}

std::vector<nlohmann::json> LinesOf(std::istream& log, const std::string& id) {
  std::vector<nlohmann::json> lines;
  std::string text;
  while (std::getline(log, text)) {
    if (text.find(id) == std::string::npos) {
      continue;
    }
    nlohmann::json line = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
    if (line.is_object() && IsAbout(line, id)) {
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

/// \returns true for the request ids of a gateway's callers, 8 or more letters and digits, and for
/// the ids of backend servers, which also have hyphens and at least one digit.
bool IsPlatformId(const std::string& text) {
  constexpr std::size_t kMinLength = 8;
  const auto is_digit = [](unsigned char letter) { return std::isdigit(letter) != 0; };
  const bool hyphens = text.find('-') != std::string::npos;
  return text.size() >= kMinLength &&
         (!hyphens || std::any_of(text.begin(), text.end(), is_digit)) &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) {
           return letter == '-' || std::isalnum(letter) != 0;
         });
}

std::string FirstTeam(const std::vector<nlohmann::json>& lines) {
  for (const nlohmann::json& line : lines) {
    if (std::string team = TextOf(line, "team"); !team.empty()) {
      return team;
    }
  }
  return "unknown";
}

}  // namespace

std::size_t ExplainRequest(std::istream& log, request_id request, std::ostream& out) {
  return ExplainById(log, ToString(request), out);
}

std::size_t ExplainById(std::istream& log, const std::string& id, std::ostream& out) {
  std::vector<nlohmann::json> lines = LinesOf(log, id);
  if (lines.empty()) {
    return 0;
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const nlohmann::json& left, const nlohmann::json& right) {
                     return TextOf(left, "time") < TextOf(right, "time");
                   });
  if (TextOf(lines.front(), "request") == id) {
    out << "request " << id << " of team " << FirstTeam(lines) << '\n';
  } else {
    out << MatterOf(lines) << " backend server " << id << '\n';
  }
  for (const nlohmann::json& line : lines) {
    PrintLine(line, out);
  }
  return lines.size();
}

int RunExplain(const std::vector<std::string>& arguments) {
  TCLAP::CmdLine line(kSummary, ' ', JACINTHSPOOL_VERSION);
  TCLAP::UnlabeledValueArg<std::string> file("logfile", "JSON log lines, or '-'", true, "",
                                             "LOGFILE", line);
  TCLAP::UnlabeledValueArg<std::string> id(
      "id", "As in the field \"request\" or \"backend\" of log lines", true, "", "ID", line);
  if (const auto code = ParseArguments(line, "explain", arguments)) {
    return *code;
  }
  request_id request;
  if (!ParseRequestId(id.getValue(), request) && !IsPlatformId(id.getValue())) {
    return PrintUsageError(
        "explain", "'" + id.getValue() + "' is not a request id or the id of a backend server");
  }
  std::ifstream opened;
  std::string error;
  if (file.getValue() != "-" && !OpenFile(file.getValue(), opened, error)) {
    PrintError("explain: " + error);
    return kExitFailed;
  }
  std::istream& log = file.getValue() == "-" ? std::cin : opened;
  if (ExplainById(log, id.getValue(), std::cout) == 0) {
    PrintError("explain: no log line about " + id.getValue() + " in " + file.getValue());
    return kExitFailed;
  }
  return kExitOk;
}

}  // namespace jacinthspool
