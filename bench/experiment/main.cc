// Runs the real binary against stand-in engines under open-loop load.
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bench/experiment/arrivals.h"
#include "bench/experiment/load.h"
#include "bench/experiment/report.h"
#include "tests/process/cluster.h"

namespace jacinthspool::bench {
namespace {

constexpr std::uint32_t kPieceTokens = 4096;
constexpr std::uint32_t kPieces = 20;
constexpr int kTokenMs = 25;
constexpr int kTurnevoPercent = 60;
constexpr seconds kDrainTimeout(90);

struct experiment_options {
  std::string policy;
  std::string fault;
  std::string out;
  double load = 1;
  double prefill_tokens_per_s = 40000;
  int prefills = 3;
  int decodes = 2;
  int entries = 2;
  plan_options plan;
};

/// \returns Completions per second that the engines can serve; the slower stage sets the limit.
double CapacityOf(const experiment_options& options, const mean_work& mean) {
  const double prefill = options.prefills * options.prefill_tokens_per_s / mean.prompt_tokens;
  const double decode = options.decodes * static_cast<double>(kPieces) / mean.held_piece_seconds;
  return std::min(prefill, decode);
}

testing::cluster_options ClusterOptions(const experiment_options& options) {
  testing::cluster_options cluster;
  cluster.prefills = options.prefills;
  cluster.decodes = options.decodes;
  cluster.entries = options.entries;
  cluster.piece_tokens = kPieceTokens;
  cluster.turnevo_percent = kTurnevoPercent;
  cluster.engine_options = {"--prefill-tokens-per-s",
                            std::to_string(options.prefill_tokens_per_s),
                            "--step-ms",
                            std::to_string(kTokenMs),
                            "--step-growth",
                            "0.01"};
  cluster.pools = {{"prefill_tokens_per_s", static_cast<int>(options.prefill_tokens_per_s)},
                   {"token_ms", kTokenMs}};
  cluster.limits = {{"first_token_ms", 430}};
  cluster.operators = {{"routing", options.policy}};
  return cluster;
}

/// \brief Injects one fault after a third of the run and ends it 3 s later.
class fault_schedule {
 public:
  fault_schedule(testing::cluster& fleet, const std::string& fault, microseconds length)
      : fleet_(fleet), fault_(fault) {
    begin_ = fleet.environment().timers().After(length / 3, [this](instant) { Begin(); });
    end_ = fleet.environment().timers().After(length / 3 + seconds(3), [this](instant) { End(); });
  }

 private:
  void Begin() {
    if (fault_ == "kill_engine") {
      fleet_.decode(0).engine->Kill();
    } else if (fault_ == "kill_agent") {
      fleet_.decode(0).agent->Kill();
    } else if (fault_ == "stall_transfer") {
      fleet_.prefill(0).kv_link->Stall();
    } else if (fault_ == "freeze_entry") {
      fleet_.entry(0).process->Signal(SIGSTOP);
    }
  }

  void End() {
    if (fault_ == "kill_engine") {
      fleet_.LaunchEngine(fleet_.decode(0));
    } else if (fault_ == "kill_agent") {
      fleet_.LaunchAgent(fleet_.decode(0));
    } else if (fault_ == "stall_transfer") {
      fleet_.prefill(0).kv_link->Heal();
    } else if (fault_ == "freeze_entry") {
      fleet_.entry(0).process->Signal(SIGCONT);
    }
  }

  testing::cluster& fleet_;
  std::string fault_;
  timer_subscription begin_;
  timer_subscription end_;
};

std::uint64_t PrefillTokens(testing::cluster& fleet, int prefills) {
  std::uint64_t tokens = 0;
  for (int number = 0; number < prefills; ++number) {
    const nlohmann::json counters = testing::FetchJson(
        fleet.environment(), fleet.prefill(number).engine_address, "/standin/counters");
    tokens += counters.value("prefill_tokens", std::uint64_t{0}) +
              counters.value("cached_tokens", std::uint64_t{0});
  }
  return tokens;
}

nlohmann::json ResultLine(const request_result& result) {
  return {{"at_us", result.plan.at.count()},
          {"kind", NameOf(result.plan.kind)},
          {"team", result.plan.team},
          {"prompt_tokens", result.plan.prompt_tokens},
          {"status", result.status},
          {"error", result.error_type},
          {"whole", result.whole},
          {"left", result.left},
          {"first_token_us", result.first_token.count()},
          {"mean_gap_us", result.mean_gap.count()},
          {"longest_gap_us", result.longest_gap.count()},
          {"tokens", result.tokens},
          {"retry_after_s", result.retry_after_s}};
}

int Run(experiment_options options) {
  options.plan.requests_per_s = 100;
  const mean_work mean = MeanWork(MakePlan(options.plan), kPieceTokens, milliseconds(kTokenMs));
  const double capacity = CapacityOf(options, mean);
  options.plan.requests_per_s = options.load * capacity / (1 - options.plan.call_share);

  testing::cluster fleet(ClusterOptions(options));
  if (!fleet.Start()) {
    std::cerr << "cannot start the fleet: a process did not become ready\n";
    return 1;
  }
  const std::uint64_t before = PrefillTokens(fleet, options.prefills);
  report results({.length = options.plan.length});
  std::ofstream lines;
  if (!options.out.empty()) {
    lines.open(options.out);
  }
  std::vector<std::string> entries;
  entries.reserve(static_cast<std::size_t>(options.entries));
  for (int number = 0; number < options.entries; ++number) {
    entries.push_back(fleet.entry(number).address);
  }
  load_generator load({.loop = fleet.environment().loop(),
                       .timers = fleet.environment().timers(),
                       .entries = entries,
                       .model = testing::kModel,
                       .plan = MakePlan(options.plan),
                       .on_result = [&](const request_result& result) {
                         results.Add(result);
                         if (lines.is_open()) {
                           lines << ResultLine(result).dump() << '\n';
                         }
                       }});
  const fault_schedule fault(fleet, options.fault, options.plan.length);
  const bool ended = fleet.environment().WaitUntil([&load] { return load.done(); },
                                                   options.plan.length + kDrainTimeout);
  nlohmann::json summary = results.Summary(PrefillTokens(fleet, options.prefills) - before);
  summary["policy"] = options.policy;
  summary["fault"] = options.fault;
  summary["load"] = options.load;
  summary["seed"] = options.plan.seed;
  summary["capacity_per_s"] = capacity;
  summary["all_ended"] = ended;
  std::cout << summary.dump() << std::endl;
  return ended ? 0 : 1;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Measures goodput and wasted prefill of one policy at one load", ' ', "1");
  std::vector<std::string> policies = {"seat_first", "round_robin", "least_load", "prefill_first",
                                       "entry_queue"};
  std::vector<std::string> faults = {"none", "kill_engine", "kill_agent", "stall_transfer",
                                     "freeze_entry"};
  TCLAP::ValuesConstraint<std::string> policy_names(policies);
  TCLAP::ValuesConstraint<std::string> fault_names(faults);
  const experiment_options defaults;
  TCLAP::ValueArg<std::string> policy("", "policy", "how entries choose", false, "seat_first",
                                      &policy_names, line);
  TCLAP::ValueArg<std::string> fault("", "fault", "what fails for 3 s after a third of the run",
                                     false, "none", &fault_names, line);
  TCLAP::ValueArg<double> load("", "load", "share of the engines' capacity", false, 1, "share",
                               line);
  TCLAP::ValueArg<double> ramp("", "ramp", "multiple of the rate at the end", false, 1, "factor",
                               line);
  TCLAP::ValueArg<double> leaving("", "leaving", "callers that go early", false, 0.02, "share",
                                  line);
  TCLAP::ValueArg<double> turnevo("", "turnevo", "Turnevo's share of the requests", false, 0.4,
                                  "share", line);
  TCLAP::ValueArg<unsigned> length("", "length", "length of the arrivals", false, 20, "s", line);
  TCLAP::ValueArg<unsigned> seed("", "seed", "of the plan", false, 1, "number", line);
  TCLAP::ValueArg<int> prefills("", "prefills", "prefill engines", false, defaults.prefills,
                                "number", line);
  TCLAP::ValueArg<int> decodes("", "decodes", "decode engines", false, defaults.decodes, "number",
                               line);
  TCLAP::ValueArg<int> entries("", "entries", "entries", false, defaults.entries, "number", line);
  TCLAP::ValueArg<std::string> out("", "out", "file for one JSON line a request", false, "", "path",
                                   line);
  line.parse(argc, argv);
  experiment_options options{.policy = policy.getValue(),
                             .fault = fault.getValue(),
                             .out = out.getValue(),
                             .load = load.getValue(),
                             .prefills = prefills.getValue(),
                             .decodes = decodes.getValue(),
                             .entries = entries.getValue(),
                             .plan = {.seed = seed.getValue(),
                                      .length = seconds(length.getValue()),
                                      .ramp = ramp.getValue(),
                                      .disconnect_share = leaving.getValue(),
                                      .turnevo_share = turnevo.getValue()}};
  return Run(std::move(options));
}

}  // namespace
}  // namespace jacinthspool::bench

int main(int argc, char** argv) try {
  return jacinthspool::bench::Main(argc, argv);
} catch (const std::exception& failure) {
  std::cerr << failure.what() << '\n';
  return 1;
}
