#include "src/cli/status_command.h"

#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "src/cli/arguments.h"
#include "src/cli/exit_code.h"
#include "src/cli/text_table.h"
#include "src/settings/name_checks.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"

namespace jacinthspool {
namespace {

constexpr const char* kSummary =
    "Requests the status of a running entry or agent and prints it.\n"
    "ADDRESS is ip:port of the process's setting \"listen\".\n"
    "Exit code: 0 done, 1 no answer or not a status, 2 usage.";

constexpr seconds kTimeout{5};
constexpr int kOk = 200;

std::string TextOf(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// \returns true for a list of objects, which is printed as a table of its own.
bool IsTable(const nlohmann::json& value) {
  return value.is_array() && !value.empty() && value.front().is_object();
}

void AddValues(const nlohmann::json& object, const std::string& prefix, text_table& table) {
  for (const auto& [name, value] : object.items()) {
    if (value.is_object()) {
      AddValues(value, prefix + name + ".", table);
    } else if (!IsTable(value)) {
      table.Add({prefix + name, TextOf(value)});
    }
  }
}

/// The columns are the members of the first row.
void PrintList(const std::string& name, const nlohmann::json& rows, std::ostream& out) {
  std::vector<std::string> columns;
  for (const auto& [column, value] : rows.front().items()) {
    columns.push_back(column);
  }
  text_table table;
  table.Add(columns);
  for (const nlohmann::json& row : rows) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const std::string& column : columns) {
      const bool has = row.is_object() && row.contains(column);
      cells.push_back(has ? TextOf(row[column]) : "-");
    }
    table.Add(std::move(cells));
  }
  out << '\n' << name << ":\n";
  table.Print(out);
}

/// Prints the lists of an object and of the objects in it.
void PrintLists(const nlohmann::json& object, const std::string& prefix, std::ostream& out) {
  for (const auto& [name, value] : object.items()) {
    if (value.is_object()) {
      PrintLists(value, prefix + name + ".", out);
    } else if (IsTable(value)) {
      PrintList(prefix + name, value, out);
    }
  }
}

http_response FetchStatus(const std::string& address) {
  event_loop loop;
  http_client client(loop);
  http_response received;
  const std::unique_ptr<http_call> call =
      client.Fetch({.address = address, .target = "/status", .timeout = kTimeout},
                   {.on_done = [&](http_response response) {
                     received = std::move(response);
                     loop.Stop();
                   }});
  loop.Run();
  return received;
}

}  // namespace

void PrintStatus(const nlohmann::json& status, std::ostream& out) {
  text_table table;
  AddValues(status, "", table);
  table.Print(out);
  PrintLists(status, "", out);
}

int RunStatus(const std::vector<std::string>& arguments) {
  TCLAP::CmdLine line(kSummary, ' ', JACINTHSPOOL_VERSION);
  TCLAP::SwitchArg as_json("j", "json", "Print the received JSON unchanged", line);
  TCLAP::UnlabeledValueArg<std::string> address("address", "ip:port of the process", true, "",
                                                "ADDRESS", line);
  if (const auto code = ParseArguments(line, "status", arguments)) {
    return *code;
  }
  if (!IsIpPort(address.getValue(), port_rule::kNonZero)) {
    return PrintUsageError("status", "'" + address.getValue() + "' is not ip:port");
  }
  const http_response response = FetchStatus(address.getValue());
  if (response.status != kOk) {
    PrintError(
        "status: " + address.getValue() + ": " +
        (response.error.empty() ? "status " + std::to_string(response.status) : response.error));
    return kExitFailed;
  }
  const nlohmann::json status =
      nlohmann::json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (!status.is_object()) {
    PrintError("status: " + address.getValue() + ": the response is not a JSON object");
    return kExitFailed;
  }
  if (as_json.getValue()) {
    std::cout << response.body << '\n';
  } else {
    PrintStatus(status, std::cout);
  }
  return kExitOk;
}

}  // namespace jacinthspool
