// Measures memory and processor time of the real processes, idle or under load.
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "bench/experiment/load.h"
#include "bench/experiment/report.h"
#include "tests/process/cluster.h"

namespace jacinthspool::bench {
namespace {

constexpr std::uint32_t kPieceTokens = 4096;

struct cost_options {
  int prefills = 1;
  int decodes = 1;
  int entries = 1;
  double requests_per_s = 0;
  std::uint32_t prompt_tokens = 200;
  std::uint32_t output_tokens = 40;
  seconds length{10};
  int heartbeat_ms = 1000;
};

struct process_usage {
  double cpu_seconds = 0;
  std::uint64_t resident_kb = 0;
};

process_usage UsageOf(pid_t pid) {
  constexpr int kFieldsBeforeUserTime = 11;
  process_usage usage;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  usage.cpu_seconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      usage.resident_kb = std::stoull(line.substr(sizeof("VmRSS:")));
    }
  }
  return usage;
}

using usages = std::map<std::string, process_usage>;

usages UsageOfAll(testing::cluster& fleet, const cost_options& options) {
  usages all;
  for (int number = 0; number < options.entries; ++number) {
    all["entry"].cpu_seconds += UsageOf(fleet.entry(number).process->pid()).cpu_seconds;
    all["entry"].resident_kb += UsageOf(fleet.entry(number).process->pid()).resident_kb;
  }
  const auto add = [&all](const std::string& role, const testing::backend_server& backend) {
    const process_usage usage = UsageOf(backend.agent->pid());
    all[role].cpu_seconds += usage.cpu_seconds;
    all[role].resident_kb += usage.resident_kb;
  };
  for (int number = 0; number < options.prefills; ++number) {
    add("prefill_agent", fleet.prefill(number));
  }
  for (int number = 0; number < options.decodes; ++number) {
    add("decode_agent", fleet.decode(number));
  }
  return all;
}

std::vector<planned_request> EvenPlan(const cost_options& options) {
  std::vector<planned_request> plan;
  const auto count =
      static_cast<int>(options.requests_per_s * static_cast<double>(options.length.count()));
  for (int number = 0; number < count; ++number) {
    planned_request request;
    request.at = microseconds(options.length) * number / count;
    request.kind = request_kind::kReply;
    request.team = "turnevo";
    request.prompt_tokens = options.prompt_tokens;
    request.output_tokens = options.output_tokens;
    request.workspace = static_cast<std::uint32_t>(number);
    plan.push_back(request);
  }
  return plan;
}

nlohmann::json CostLine(const std::string& role, int processes, const process_usage& before,
                        const process_usage& after, double length) {
  constexpr double kMillisecondsPerSecond = 1000;
  const double cpu = (after.cpu_seconds - before.cpu_seconds) / length / processes;
  return {{"role", role},
          {"processes", processes},
          {"cpu_ms_per_s", cpu * kMillisecondsPerSecond},
          {"resident_kb", after.resident_kb / static_cast<std::uint64_t>(processes)}};
}

int Run(const cost_options& options) {
  testing::cluster_options cluster;
  cluster.prefills = options.prefills;
  cluster.decodes = options.decodes;
  cluster.services = 0;
  cluster.entries = options.entries;
  cluster.piece_tokens = kPieceTokens;
  cluster.timing = {{"heartbeat_ms", options.heartbeat_ms}, {"lease_ms", options.heartbeat_ms * 4}};
  cluster.engine_options = {"--prefill-tokens-per-s", "1000000", "--step-ms", "5"};
  testing::cluster fleet(std::move(cluster));
  if (!fleet.Start()) {
    std::cerr << "cannot start the fleet: a process did not become ready\n";
    return 1;
  }
  fleet.environment().Elapse(seconds(2));
  std::vector<std::string> entries;
  entries.reserve(static_cast<std::size_t>(options.entries));
  for (int number = 0; number < options.entries; ++number) {
    entries.push_back(fleet.entry(number).address);
  }
  const usages before = UsageOfAll(fleet, options);
  const instant started = timer_service::now();
  report results({.length = options.length});
  load_generator load(
      {.loop = fleet.environment().loop(),
       .timers = fleet.environment().timers(),
       .entries = entries,
       .model = testing::kModel,
       .plan = EvenPlan(options),
       .on_result = [&results](const request_result& result) { results.Add(result); }});
  fleet.environment().Elapse(options.length);
  const double length = std::chrono::duration<double>(timer_service::now() - started).count();
  const usages after = UsageOfAll(fleet, options);
  nlohmann::json lines = nlohmann::json::array();
  lines.push_back(
      CostLine("entry", options.entries, before.at("entry"), after.at("entry"), length));
  lines.push_back(CostLine("prefill_agent", options.prefills, before.at("prefill_agent"),
                           after.at("prefill_agent"), length));
  lines.push_back(CostLine("decode_agent", options.decodes, before.at("decode_agent"),
                           after.at("decode_agent"), length));
  const nlohmann::json summary = results.Summary(0);
  for (nlohmann::json& line : lines) {
    line["agents"] = options.prefills + options.decodes;
    line["entries"] = options.entries;
    line["requests_per_s"] = options.requests_per_s;
    line["output_tokens"] = options.output_tokens;
    line["outcomes"] = summary["outcomes"];
    std::cout << line.dump() << '\n';
  }
  return 0;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Measures memory and processor time of entries and agents", ' ', "1");
  TCLAP::ValueArg<int> prefills("", "prefills", "prefill agents", false, 1, "number", line);
  TCLAP::ValueArg<int> decodes("", "decodes", "decode agents", false, 1, "number", line);
  TCLAP::ValueArg<int> entries("", "entries", "entries", false, 1, "number", line);
  TCLAP::ValueArg<double> rate("", "rate", "requests of all callers", false, 0, "1/s", line);
  TCLAP::ValueArg<unsigned> prompt("", "prompt", "tokens of a prompt", false, 200, "tokens", line);
  TCLAP::ValueArg<unsigned> output("", "output", "tokens of an answer", false, 40, "tokens", line);
  TCLAP::ValueArg<int> length("", "length", "length of the measurement", false, 10, "s", line);
  TCLAP::ValueArg<int> beat("", "heartbeat", "time between heartbeats", false, 1000, "ms", line);
  line.parse(argc, argv);
  return Run({.prefills = prefills.getValue(),
              .decodes = decodes.getValue(),
              .entries = entries.getValue(),
              .requests_per_s = rate.getValue(),
              .prompt_tokens = prompt.getValue(),
              .output_tokens = output.getValue(),
              .length = seconds(length.getValue()),
              .heartbeat_ms = beat.getValue()});
}

}  // namespace
}  // namespace jacinthspool::bench

int main(int argc, char** argv) try {
  return jacinthspool::bench::Main(argc, argv);
} catch (const std::exception& failure) {
  std::cerr << failure.what() << '\n';
  return 1;
}
