#include "tests/soak/soak.h"

#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

#include "src/transport/http1_client.h"
#include "tests/process/child_process.h"
#include "tests/process/relay.h"
#include "tests/process/test_environment.h"
#include "tests/soak/server_standin.h"
#include "tests/soak/store_standin.h"

namespace jacinthspool::testing {
namespace {

using json = nlohmann::json;

// Bounds from the deployment settings of the platform, with their names there.
constexpr milliseconds kConfigurationBound = milliseconds(3000);  // configMs
constexpr milliseconds kDrainBound = milliseconds(4000);          // touchMs
constexpr milliseconds kStopBound = milliseconds(8000);           // graceS
constexpr double kRetryRatio = 0.2;                               // budgetRatio
constexpr int kRetryExtra = 50;                                   // budgetExtra
constexpr seconds kRetryWindow = seconds(10);                     // budgetWindowS
/// The load balancer checks health once a second and sends callers until the second failed check.
constexpr milliseconds kBalancerBound = milliseconds(2000);

constexpr int kKilledCode = 128 + SIGKILL;  ///< `child_process::ExitCode` after SIGKILL.
constexpr int kTerminatedCode = 128 + SIGTERM;
/// In which a process that was spawned loads its libraries, on a busy machine.
constexpr milliseconds kLoadTime = milliseconds(50);
constexpr milliseconds kMeanCallerInterval = milliseconds(15);  ///< Mean time between two callers.
constexpr milliseconds kPlainDeadline = milliseconds(1500);
constexpr milliseconds kStreamDeadline = milliseconds(4000);
/// Exceeds the time until a process listens.
constexpr milliseconds kStartTime = milliseconds(300);
/// Within this time a disconnect of a caller has been detected and its run has ended.
constexpr milliseconds kDisconnectBound = milliseconds(1000);
/// Callers of each plain class and gateway, after the faults.
constexpr int kFaultFreeCallers = 10;
/// Limit that the first server names from the start, in requests a second.
constexpr double kFirstLimit = 2;
/// Servers of the plain service at the start.
constexpr std::size_t kPlainServers = 3;
/// Gateways that all others query for snapshots, as on the platform.
constexpr int kSeedGateways = 3;
/// What a disturbed link has held up arrives within this time after its end.
constexpr milliseconds kLinkSettleTime = milliseconds(1000);
/// A disturbed gateway is bound by limits again after this time.
constexpr milliseconds kLimitExcuse = milliseconds(3000);  // touchMs
// A sound server may fall silent for this long and then goes on.
constexpr milliseconds kShortestPause = milliseconds(300);
constexpr milliseconds kLongestPause = milliseconds(2500);
constexpr milliseconds kMeanPauseInterval = milliseconds(400);  ///< Mean time between two pauses.
// Standstills of gateways, beside servers and links that are silent.
constexpr milliseconds kShortestStandstill = milliseconds(300);
constexpr milliseconds kLongestStandstill = milliseconds(2000);
constexpr milliseconds kLongestSecondStandstill = milliseconds(1000);
constexpr milliseconds kLongestSilence = milliseconds(1200);
/// A standstill begins within this time after connections began, or within that of the next.
constexpr milliseconds kSoonAfterOpening = milliseconds(50);
constexpr milliseconds kLateAfterOpening = milliseconds(400);
constexpr milliseconds kSecondOpening = milliseconds(1000);  ///< After the first.
constexpr milliseconds kShortTimeLeft = milliseconds(100);
constexpr milliseconds kMeanStandstillInterval = milliseconds(1000);
/// Callers of one gateway at once, so that new connections are opened.
constexpr int kBurst = 8;
constexpr milliseconds kShortestTimeout = milliseconds(400);
constexpr milliseconds kLongestTimeout = milliseconds(3000);
/// Rate at which each gateway reads the store while the configuration grows: 10 Mbit/s.
constexpr std::size_t kSlowLink = 1'250'000;
constexpr int kAddedRoutes = 700;
constexpr int kFirstAddedRoutes = 2800;
constexpr int kMostAddedRoutes = 4900;
constexpr double kDisconnectShare = 0.1;  ///< Share of the callers that disconnect early.

/// One gateway and the state of its process.
struct gateway_slot {
  std::string name;
  std::string settings;
  std::string address;
  std::unique_ptr<child_process> process;
  int starts = 0;
  instant started{};
  std::uintmax_t log_size = 0;  ///< At its start; all its processes write to one file.
  instant stopped{};            ///< Time of SIGTERM; the epoch if it was not sent.
  instant last_disturbed{};     ///< Time at which it was last killed, paused or continued.
  bool paused = false;
  bool killed = false;  ///< Killed by the soak, which restarts it.

  [[nodiscard]] bool stopping() const { return stopped != instant{}; }
};

/// One backend server behind a link on which faults are injected.
struct server_slot {
  std::unique_ptr<server_standin> server;
  std::unique_ptr<relay> link;
  std::string service;
  std::string stage;
  instant draining_since{};  ///< Time at which draining was published; the epoch if it was not.
};

enum class request_class { kNonIdempotent, kIdempotent, kResumableStream, kStream, kProbe };

constexpr const char* PathOf(request_class kind) {
  switch (kind) {
    case request_class::kNonIdempotent:
      return "/once/";
    case request_class::kIdempotent:
      return "/again/";
    case request_class::kResumableStream:
      return "/stream/";
    case request_class::kStream:
    case request_class::kProbe:
      break;
  }
  return "/brittle/";
}

class soak;

/// One request of a caller and its outcome, kept until the final check of the soak.
struct caller : http1_call_listener {
  soak& owner;
  std::string id;
  request_class kind;
  std::string path;
  gateway_slot& gateway;
  int gateway_start;  ///< Number of the gateway's start at the time of the request.
  instant sent_at;
  std::unique_ptr<http1_call> call;
  timer_subscription disconnect_timer;
  int status = 0;
  std::string echoed_id;
  std::string body;
  std::optional<call_outcome> end;
  bool disconnected = false;

  caller(soak& the_owner, std::string the_id, request_class the_kind, std::string the_path,
         gateway_slot& the_gateway)
      : owner(the_owner),
        id(std::move(the_id)),
        kind(the_kind),
        path(std::move(the_path)),
        gateway(the_gateway),
        gateway_start(the_gateway.starts),
        sent_at(timer_service::now()) {}

  head_action OnHead(const http1_head& head) override {
    status = head.status;
    echoed_id = std::string(head.Find("X-Request-Id").value_or(""));
    return head_action::kAccept;
  }
  void OnBody(std::string_view bytes) override { body += bytes; }
  void OnEnd(call_outcome the_end, const std::string& reason) override;

  [[nodiscard]] bool streams() const {
    return kind == request_class::kResumableStream || kind == request_class::kStream;
  }
};

class soak {
 public:
  explicit soak(const soak_options& options)
      : options_(options),
        random_(options.seed),
        fault_random_(options.seed),
        limit_random_(options.seed),
        pause_random_(options.seed),
        cut_random_(options.seed),
        standstill_random_(options.seed),
        client_({.loop = environment_.loop(), .timers = environment_.timers()}),
        store_(environment_.loop(), environment_.timers()) {}

  soak_report Run();
  void OnCallerEnded(caller& ended, const std::string& reason);

 private:
  static double Draw(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
  static milliseconds DrawTime(std::mt19937_64& random, milliseconds least, milliseconds most) {
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random));
  }
  template <typename slot_type>
  slot_type& Pick(const std::vector<std::unique_ptr<slot_type>>& slots) {
    return *slots[fault_random_() % slots.size()];
  }
  void Schedule(milliseconds delay, std::function<void()> action) {
    scheduled_.push_back(environment_.timers().After(
        delay, [action = std::move(action)](instant /*now*/) { action(); }));
  }
  /// Counts an injected fault and logs it beside the logs of the processes.
  void RecordFault(const std::string& fault, const std::string& where) {
    ++report_.faults[fault];
    const std::chrono::duration<double> at = timer_service::now() - started_at_;
    fault_log_ << std::fixed << at.count() << " " << fault << " " << where << std::endl;
  }
  void ReportViolation(const std::string& guarantee, const std::string& detail) {
    report_.violations.push_back(guarantee + ": " + detail);
  }

  void SetUp();
  void StartGateway(gateway_slot& slot);
  void StopGateway(gateway_slot& slot);
  [[nodiscard]] std::uintmax_t LogSize(const gateway_slot& slot) const;
  server_slot& AddServer(server_standin::role kind);
  void Publish(const server_slot& slot, const char* state);
  void PublishConfiguration();

  void SendRequest(request_class kind, gateway_slot& gateway, const std::string& path);
  void SendRandomRequests();
  void InjectFault();
  void InjectProcessFault(gateway_slot& slot);
  void InjectStoreFault();
  void InjectServerFault();
  void InjectOperatorChange();
  void InjectLimitChange();
  void LiftLimits();
  void InjectPause();
  void InjectWatchCuts();
  void InjectStandstill();
  void Silence(server_slot& slot, double manner, milliseconds length);
  void StandStill(gateway_slot& slot, milliseconds length, std::function<void()> then);
  /// \brief The limits do not bind the gateway until it has been undisturbed for a while.
  void ExcuseFromLimits(const gateway_slot& slot);
  void CheckProcesses();
  void CheckProcess(gateway_slot& slot);
  void ProbeConfiguration(const std::string& route, instant published);
  void CheckDraining(const server_slot& slot);
  void CheckWithoutFaults();
  [[nodiscard]] std::vector<gateway_slot*> SteadyGateways() const;
  void CheckEnd();
  void CheckAnswer(const caller& ended);
  void CheckDisconnected(const caller& checked);

  soak_options options_;
  std::mt19937_64 random_;  ///< For callers and restarts.
  /// Reseeded for each fault, so that timing does not change the plan.
  std::mt19937_64 fault_random_;
  std::mt19937_64
      limit_random_;  ///< For the servers' limits, so that the other faults stay the same.
  std::mt19937_64 pause_random_;       ///< For the servers' pauses, likewise.
  std::mt19937_64 cut_random_;         ///< For the cuts of watches, likewise.
  std::mt19937_64 standstill_random_;  ///< For standstills and what is beside them, likewise.
  std::uint64_t faults_injected_ = 0;
  test_environment environment_;
  http1_client client_;
  run_record record_;
  store_standin store_;
  std::unique_ptr<relay> store_link_;
  std::vector<std::unique_ptr<relay>> seed_links_;  ///< To the gateways that all others query.
  std::vector<std::unique_ptr<gateway_slot>> gateways_;
  std::unique_ptr<child_process> sidecar_;
  std::vector<std::unique_ptr<server_slot>> servers_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::map<std::string, std::string> senders_;  ///< Gateway of each caller's request.
  std::vector<timer_subscription> scheduled_;
  soak_report report_;
  std::ofstream fault_log_{environment_.PathOf("faults.log")};
  instant started_at_ = timer_service::now();
  std::vector<std::string> routes_ = {"/once/", "/again/", "/stream/", "/brittle/"};
  int added_routes_ = 0;  ///< Routes of the configuration that nobody calls.
  std::uint64_t version_ = 3;
  milliseconds plain_timeout_ = kPlainDeadline;  ///< Of the routes without streams.
  instant store_disturbed_{};                    ///< End of the last fault of the store.
  instant server_disturbed_{};  ///< End of the last fault of any backend server or its link.
  bool traffic_ended_ = false;
};

void caller::OnEnd(call_outcome the_end, const std::string& reason) {
  end = the_end;
  disconnect_timer.Cancel();
  call.reset();
  owner.OnCallerEnded(*this, reason);
}

// ---- system under test ----

server_slot& soak::AddServer(server_standin::role kind) {
  auto added = std::make_unique<server_slot>();
  added->server = std::make_unique<server_standin>(
      server_standin::options{.loop = environment_.loop(),
                              .timers = environment_.timers(),
                              .record = record_,
                              .id = "i-" + std::to_string(servers_.size()),
                              .kind = kind,
                              .started = started_at_,
                              .gateway_of =
                                  [this](const std::string& id) {
                                    const auto sender = senders_.find(id);
                                    return sender == senders_.end() ? "" : sender->second;
                                  },
                              .on_limit_exceeded =
                                  [this](const std::string& detail) {
                                    ReportViolation("servers' request limits hold", detail);
                                  }});
  added->link = std::make_unique<relay>(environment_, added->server->address());
  added->service = kind == server_standin::role::kPlain ? "plain" : "model";
  added->stage = kind == server_standin::role::kPrefill  ? "prefill"
                 : kind == server_standin::role::kDecode ? "decode"
                                                         : "";
  servers_.push_back(std::move(added));
  Publish(*servers_.back(), "ready");
  return *servers_.back();
}

void soak::Publish(const server_slot& slot, const char* state) {
  json entry = {{"service", slot.service},
                {"address", slot.link->address()},
                {"zone", "dc"},
                {"version", 1},
                {"slots", 64},
                {"state", state},
                {"coldLeftMs", 0},
                {"seq", 1}};
  if (!slot.stage.empty()) {
    entry["stage"] = slot.stage;
  }
  store_.Put("servers/" + slot.server->id(), entry.dump());
}

void soak::PublishConfiguration() {
  json routes = json::array();
  for (const std::string& path : routes_) {
    const bool streams = path == "/stream/" || path == "/brittle/";
    routes.push_back({{"name", path},
                      {"host", "h"},
                      {"prefix", path},
                      {"kind", streams            ? "streaming"
                               : path == "/once/" ? "non_idempotent"
                                                  : "idempotent"},
                      {"attempts", 2},
                      {"timeoutMs", (streams ? kStreamDeadline : plain_timeout_).count()},
                      {"goalMs", 300},
                      {"service", streams ? "model" : "plain"},
                      {"resumable", path == "/stream/"}});
  }
  for (int i = 0; i < added_routes_; ++i) {
    const std::string name = "added-" + std::to_string(i);
    routes.push_back({{"name", name},
                      {"host", "h"},
                      {"prefix", "/" + name + "/"},
                      {"kind", "idempotent"},
                      {"timeoutMs", plain_timeout_.count()},
                      {"goalMs", 300},
                      {"priority", 1},
                      {"service", "plain"},
                      {"attempts", 1},
                      {"sticky", false}});
  }
  const json engine = {{"kvTokens", server_standin::kMemoryTokens},
                       {"kvHoldS", 0.5},
                       {"holdMs", 2000.0},
                       {"stride", 1}};
  store_.Put(
      "op/config",
      json{{"version", version_},
           {"routes", routes},
           {"services",
            {{{"name", "plain"}, {"maxConns", 100}}, {{"name", "model"}, {"engine", engine}}}},
           {"limits",
            {{"maxHeaderBytes", 16384},
             {"maxBodyBytes", 1048576},
             {"headerTimeoutMs", 3000},
             {"idleTimeoutMs", 15000}}}}
          .dump());
  version_ += 1 + fault_random_() % 5;
}

void soak::SetUp() {
  store_link_ = std::make_unique<relay>(environment_, store_.address());
  if (options_.configuration_grows) {
    store_link_->PaceReplies(kSlowLink * options_.gateways);
    added_routes_ = kFirstAddedRoutes;
  }
  PublishConfiguration();
  for (std::size_t i = 0; i < kPlainServers; ++i) {
    AddServer(server_standin::role::kPlain);
  }
  for (int i = 0; i < 2; ++i) {
    AddServer(server_standin::role::kPrefill);
    AddServer(server_standin::role::kDecode);
  }
  std::vector<std::string> snapshots(options_.gateways);
  std::vector<std::string> seeds;
  for (int i = 0; i < options_.gateways; ++i) {
    snapshots[i] = environment_.FreeAddress();
    if (i < kSeedGateways) {
      seed_links_.push_back(std::make_unique<relay>(environment_, snapshots[i]));
      seeds.push_back(seed_links_.back()->address());
    }
  }
  for (int i = 0; i < options_.gateways; ++i) {
    auto slot = std::make_unique<gateway_slot>();
    slot->name = "gateway-" + std::to_string(i);
    slot->address = environment_.FreeAddress();
    std::vector<std::string> peers = seeds;
    if (i < kSeedGateways) {
      peers.erase(peers.begin() + i);
    }
    slot->settings = environment_.WriteFile(slot->name + ".json",
                                            json{{"name", slot->name},
                                                 {"data_centre", "dc"},
                                                 {"listen", slot->address},
                                                 {"peers", peers},
                                                 {"gateway",
                                                  {{"ready_listen", environment_.FreeAddress()},
                                                   {"snapshot_listen", snapshots[i]},
                                                   {"metrics_listen", environment_.FreeAddress()},
                                                   {"publisher", store_link_->address()},
                                                   {"repeat_ratio", kRetryRatio},
                                                   {"repeat_extra", kRetryExtra},
                                                   {"stop_grace_s", kStopBound / seconds(1)}}}}
                                                .dump());
    gateways_.push_back(std::move(slot));
    StartGateway(*gateways_.back());
  }
  const std::string sidecar = environment_.WriteFile(
      "sidecar.json",
      json{{"name", "sidecar-0"},
           {"data_centre", "dc"},
           {"peers", seeds},
           {"sidecar", {{"engine", servers_[3]->link->address()}, {"service", "model"}}}}
          .dump());
  sidecar_ = std::make_unique<child_process>(
      JACINTHSPOOL_BINARY, std::vector<std::string>{"sidecar", "--config", sidecar},
      environment_.PathOf("sidecar-0.log"));
  environment_.Elapse(kStartTime + milliseconds(700));
}

std::uintmax_t soak::LogSize(const gateway_slot& slot) const {
  std::error_code missing;
  const auto size = std::filesystem::file_size(environment_.PathOf(slot.name + ".log"), missing);
  return missing ? 0 : size;
}

void soak::StartGateway(gateway_slot& slot) {
  slot.log_size = LogSize(slot);
  slot.process = std::make_unique<child_process>(
      JACINTHSPOOL_BINARY, std::vector<std::string>{"gateway", "--config", slot.settings},
      environment_.PathOf(slot.name + ".log"));
  ++slot.starts;
  slot.started = timer_service::now();
  ExcuseFromLimits(slot);
  slot.stopped = {};
  slot.paused = false;
  slot.killed = false;
}

void soak::StopGateway(gateway_slot& slot) {
  slot.process->Signal(SIGTERM);
  slot.stopped = timer_service::now();
  ExcuseFromLimits(slot);
}

// ---- callers ----

void soak::SendRequest(request_class kind, gateway_slot& gateway, const std::string& path) {
  const bool streams = kind == request_class::kResumableStream || kind == request_class::kStream;
  const milliseconds deadline = streams ? kStreamDeadline : kPlainDeadline;
  const std::string id = "r" + std::to_string(callers_.size());
  callers_.push_back(std::make_unique<caller>(*this, id, kind, path, gateway));
  caller& added = *callers_.back();
  senders_[id] = gateway.name;
  std::string bytes = "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n";
  if (streams) {
    bytes += "X-Model: m\r\nX-Token-Count: 3000,100\r\nX-Length-Hint: 50\r\n";
  }
  added.call = client_.Start(
      {.address = gateway.address, .bytes = bytes + "Content-Length: 4\r\n\r\nbody"}, added);
  const bool disconnects_early = kind != request_class::kProbe && Draw(random_) < kDisconnectShare;
  const milliseconds waits =
      disconnects_early ? DrawTime(random_, milliseconds(5), milliseconds(400)) : deadline;
  added.disconnect_timer = environment_.timers().After(waits, [this, &added](instant /*now*/) {
    added.disconnected = true;
    added.call.reset();
    Schedule(kDisconnectBound, [this, &added] { CheckDisconnected(added); });
  });
}

void soak::SendRandomRequests() {
  if (traffic_ended_) {
    return;
  }
  std::vector<gateway_slot*> reachable;
  const instant now = timer_service::now();
  for (const auto& slot : gateways_) {
    if (slot->process && !slot->process->ExitCode() && now - slot->started > kStartTime) {
      reachable.push_back(slot.get());
    }
  }
  if (!reachable.empty()) {
    const double drawn = Draw(random_);
    const request_class kind = drawn < 0.45  ? request_class::kNonIdempotent
                               : drawn < 0.7 ? request_class::kIdempotent
                               : drawn < 0.9 ? request_class::kResumableStream
                                             : request_class::kStream;
    SendRequest(kind, *reachable[random_() % reachable.size()], PathOf(kind));
  }
  Schedule(std::max(milliseconds(1), DrawTime(random_, milliseconds(0), 2 * kMeanCallerInterval)),
           [this] { SendRandomRequests(); });
}

void soak::OnCallerEnded(caller& ended, const std::string& reason) {
  const gateway_slot& gateway = ended.gateway;
  const instant now = timer_service::now();
  if (ended.kind == request_class::kProbe) {
    return;
  }
  CheckAnswer(ended);
  const bool aborted = *ended.end == call_outcome::kLost || *ended.end == call_outcome::kCut;
  const bool same_process = gateway.starts == ended.gateway_start;
  if (!aborted || !same_process || gateway.last_disturbed >= ended.sent_at) {
    return;
  }
  const int runs = record_.requests[ended.id].runs;
  // After the load balancer has stopped sending callers, an idle connection may be closed while a
  // request is in transit. The caller may retry such a request if it has not run.
  const bool closing_race = gateway.stopping() && *ended.end == call_outcome::kLost &&
                            ended.sent_at - gateway.stopped > kBalancerBound && runs == 0;
  // A stream whose engine fails can only be aborted.
  const bool engine_broke = *ended.end == call_outcome::kCut && server_disturbed_ >= ended.sent_at;
  // A server that has paused may still be at work then; the caller leaves at the same moment.
  const bool deadline_reached =
      *ended.end == call_outcome::kCut &&
      now - ended.sent_at >= (ended.streams() ? kStreamDeadline : kPlainDeadline);
  if (!closing_race && !engine_broke && !deadline_reached) {
    ReportViolation(
        gateway.stopping() ? "a planned stop aborts no request" : "each request is answered",
        ended.id + " at " + gateway.name + " " + std::string(ToString(*ended.end)) + " " + reason +
            ", " + std::to_string((now - ended.sent_at) / milliseconds(1)) +
            " ms after it was sent");
  }
}

void soak::CheckDisconnected(const caller& checked) {
  const bool conclusive = checked.gateway.starts == checked.gateway_start &&
                          checked.gateway.last_disturbed < checked.sent_at &&
                          server_disturbed_ < checked.sent_at;
  for (const auto& slot : servers_) {
    if (conclusive && slot->server->IsRunning(checked.id)) {
      ReportViolation("memory is released after a caller disconnects",
                      checked.id + " still runs at " + slot->server->id());
    }
  }
}

void soak::CheckAnswer(const caller& ended) {
  if (*ended.end == call_outcome::kMalformed) {
    ReportViolation("answers are well-formed", ended.id);
  }
  if (*ended.end != call_outcome::kWhole || ended.status < 200 || ended.status >= 300) {
    return;
  }
  if (ended.echoed_id != ended.id) {
    ReportViolation("an answer belongs to its request",
                    ended.id + " got the answer to " + ended.echoed_id);
  }
  std::string expected = "answer to " + ended.id;
  if (ended.streams()) {
    expected.clear();
    for (int event = 1; event <= server_standin::kEvents; ++event) {
      expected += "id: " + std::to_string(event) + "\ndata: token\n\n";
    }
  }
  if (ended.body != expected) {
    ReportViolation("answers are complete", ended.id + " got " + std::to_string(ended.body.size()) +
                                                " of " + std::to_string(expected.size()) +
                                                " bytes");
  }
}

// ---- faults ----

void soak::InjectFault() {
  if (traffic_ended_) {
    return;
  }
  fault_random_.seed(options_.seed * 1000 + ++faults_injected_);
  const milliseconds next =
      DrawTime(fault_random_, milliseconds(10), 2 * options_.mean_fault_interval);
  const double drawn = Draw(fault_random_);
  if (drawn < 0.35) {
    InjectProcessFault(Pick(gateways_));
  } else if (drawn < 0.5) {
    InjectStoreFault();
  } else if (drawn >= 0.8) {
    InjectOperatorChange();
  } else if (!options_.servers_only_pause) {
    InjectServerFault();
  }
  Schedule(next, [this] { InjectFault(); });
}

void soak::InjectProcessFault(gateway_slot& slot) {
  if (!slot.process || slot.process->ExitCode() || slot.stopping() || slot.paused) {
    return;
  }
  const double drawn = Draw(fault_random_);
  if (drawn < 0.3) {
    RecordFault("gateway killed", slot.name);
    slot.last_disturbed = timer_service::now();
    slot.killed = true;
    slot.process->Kill();
    Schedule(DrawTime(fault_random_, milliseconds(50), milliseconds(800)),
             [this, &slot] { StartGateway(slot); });
  } else if (drawn < 0.65) {
    RecordFault("gateway stopped", slot.name);
    StopGateway(slot);
  } else if (drawn < 0.9) {
    RecordFault("gateway paused", slot.name);
    slot.paused = true;
    slot.last_disturbed = timer_service::now();
    slot.process->Signal(SIGSTOP);
    Schedule(DrawTime(fault_random_, milliseconds(50), milliseconds(1500)), [this, &slot] {
      slot.process->Signal(SIGCONT);
      slot.last_disturbed = timer_service::now();
      slot.paused = false;
      ExcuseFromLimits(slot);
    });
  } else {
    RecordFault("gateway reloaded", slot.name);
    slot.process->Signal(SIGHUP);
  }
}

void soak::InjectStoreFault() {
  const double drawn = Draw(fault_random_);
  const milliseconds length = DrawTime(fault_random_, milliseconds(200), milliseconds(2000));
  store_disturbed_ = std::max(store_disturbed_, timer_service::now() + length);
  if (drawn < 0.15) {
    RecordFault("store compacted", "");
    store_.Compact();
  } else if (drawn < 0.3) {
    RecordFault("store restored from a backup", "");
    store_.BackUp();
    Schedule(length / 2, [this] { store_.RestoreBackup(); });
    Schedule(length, [this] { store_.RewriteLostItems(); });
  } else if (drawn < 0.45) {
    RecordFault("store link cut", "");
    store_link_->Cut();
    Schedule(length, [this] { store_link_->Heal(); });
  } else if (drawn < 0.6) {
    RecordFault("store answers stalled", "");
    store_link_->StallReplies();
    Schedule(length, [this] { store_link_->Heal(); });
  } else {
    RecordFault("store unavailable", std::to_string(drawn));
    store_.SetBehaviour(drawn < 0.75  ? store_standin::behaviour::kBusy
                        : drawn < 0.9 ? store_standin::behaviour::kSilent
                                      : store_standin::behaviour::kDropping);
    Schedule(length, [this] { store_.SetBehaviour(store_standin::behaviour::kServing); });
  }
}

void soak::InjectServerFault() {
  server_slot& slot = Pick(servers_);
  const double drawn = Draw(fault_random_);
  const milliseconds length = DrawTime(fault_random_, milliseconds(100), milliseconds(1500));
  server_disturbed_ = std::max(server_disturbed_, timer_service::now() + length);
  if (drawn < 0.5) {
    RecordFault("server link", slot.server->id() + " " + std::to_string(drawn));
    relay& link = *slot.link;
    drawn < 0.2   ? link.Cut()
    : drawn < 0.3 ? link.Stall()
    : drawn < 0.4 ? link.StallReplies()
                  : link.StallRequests();
    slot.server->rule().Suspend(timer_service::now() + length + kLinkSettleTime);
    Schedule(length, [&link] { link.Heal(); });
  } else {
    RecordFault("server behaviour", slot.server->id() + " " + std::to_string(drawn));
    slot.server->SetBehaviour(drawn < 0.7    ? server_standin::behaviour::kFull
                              : drawn < 0.85 ? server_standin::behaviour::kFailing
                                             : server_standin::behaviour::kSilent);
    Schedule(length, [&slot] { slot.server->SetBehaviour(server_standin::behaviour::kHealthy); });
  }
}

void soak::InjectOperatorChange() {
  const double drawn = Draw(fault_random_);
  const instant now = timer_service::now();
  if (drawn < 0.6) {
    RecordFault("configuration changed", std::to_string(version_));
    routes_.push_back("/probe" + std::to_string(version_) + "/");
    if (options_.configuration_grows) {
      added_routes_ = std::min(added_routes_ + kAddedRoutes, kMostAddedRoutes);
    }
    PublishConfiguration();
    Schedule(kConfigurationBound,
             [this, route = routes_.back(), now] { ProbeConfiguration(route, now); });
    return;
  }
  server_slot& slot = Pick(servers_);
  if (drawn < 0.85 && slot.draining_since == instant{}) {
    RecordFault("server draining", slot.server->id());
    // A replacement is added first, as in a release.
    AddServer(slot.server->kind());
    Publish(slot, "draining");
    slot.draining_since = now;
    Schedule(kDrainBound + milliseconds(500), [this, &slot] {
      CheckDraining(slot);
      store_.Remove("servers/" + slot.server->id());
    });
  } else {
    RecordFault("server added", "");
    AddServer(server_standin::role::kPlain);
  }
}

/// Servers name limits, change and drop them, and gateways lose the way to the seeds.
void soak::InjectLimitChange() {
  if (traffic_ended_) {
    return;
  }
  // Half of the changes are of the plain servers of the start, which get most requests.
  const std::size_t servers = Draw(limit_random_) < 0.5 ? kPlainServers : servers_.size();
  server_standin& server = *servers_[limit_random_() % servers]->server;
  const double drawn = Draw(limit_random_);
  const bool named = server.rule().limit().has_value();
  if (drawn < 0.6 && (!named || drawn < 0.15)) {
    const double limit = std::uniform_real_distribution<double>(0.2, 5)(limit_random_);
    RecordFault(named ? "limit changed" : "limit named", server.id() + " " + std::to_string(limit));
    server.SetLimit(limit);
  } else if (drawn < 0.7) {
    RecordFault("limit dropped", server.id());
    server.SetLimit(std::nullopt);
  } else if (drawn < 0.85) {
    RecordFault("limit unreadable", server.id());
    server.SetLimitText("-1");
    Schedule(milliseconds(500), [&server] { server.SetLimitText(""); });
  } else {
    relay& link = *seed_links_[limit_random_() % seed_links_.size()];
    RecordFault("seed cut off", link.address());
    link.Cut();
    Schedule(DrawTime(limit_random_, milliseconds(200), milliseconds(3000)),
             [&link] { link.Heal(); });
  }
  Schedule(DrawTime(limit_random_, milliseconds(100), milliseconds(1400)),
           [this] { InjectLimitChange(); });
}

/// A sound server falls silent and goes on, often beside a new configuration. No disturbance: the
/// answers of its requests must end whole.
void soak::InjectPause() {
  if (traffic_ended_) {
    return;
  }
  // Half of the pauses are of the decode engines, whose answers are streams.
  const bool decodes = Draw(pause_random_) < 0.5;
  std::vector<server_standin*> awake;
  for (const auto& slot : servers_) {
    const bool chosen = !decodes || slot->server->kind() == server_standin::role::kDecode;
    if (chosen && !slot->server->paused()) {
      awake.push_back(slot->server.get());
    }
  }
  const milliseconds length = DrawTime(pause_random_, kShortestPause, kLongestPause);
  if (!awake.empty()) {
    server_standin& server = *awake[pause_random_() % awake.size()];
    RecordFault("server paused", server.id() + " " + std::to_string(length.count()) + " ms");
    server.Pause(length);
  }
  if (Draw(pause_random_) < 0.3) {
    RecordFault("configuration beside a pause", std::to_string(version_));
    PublishConfiguration();
  }
  Schedule(DrawTime(pause_random_, milliseconds(10), 2 * kMeanPauseInterval),
           [this] { InjectPause(); });
}

/// The store cuts watches that wait. No disturbance: it answers every call.
void soak::InjectWatchCuts() {
  if (traffic_ended_) {
    store_.CutWatchesAfter(std::nullopt);
    return;
  }
  const bool cuts = Draw(cut_random_) < 0.6;
  const milliseconds wait = DrawTime(cut_random_, milliseconds(0), kDrainBound);
  RecordFault(cuts ? "watches cut" : "watches left", std::to_string(wait.count()) + " ms");
  store_.CutWatchesAfter(cuts ? std::optional(wait) : std::nullopt);
  Schedule(DrawTime(cut_random_, milliseconds(500), milliseconds(4000)),
           [this] { InjectWatchCuts(); });
}

void soak::StandStill(gateway_slot& slot, milliseconds length, std::function<void()> then) {
  slot.paused = true;
  slot.last_disturbed = timer_service::now();
  slot.process->Signal(SIGSTOP);
  Schedule(length, [this, &slot, then = std::move(then)] {
    slot.last_disturbed = timer_service::now();
    slot.paused = false;
    ExcuseFromLimits(slot);
    if (slot.process) {
      slot.process->Signal(SIGCONT);
      then();
    }
  });
}

void soak::Silence(server_slot& slot, double manner, milliseconds length) {
  relay& link = *slot.link;
  RecordFault(manner < 0.8 ? "openings unanswered" : "bytes held back",
              slot.server->id() + " " + std::to_string(manner) + " " +
                  std::to_string(length.count()) + " ms");
  server_disturbed_ = std::max(server_disturbed_, timer_service::now() + length);
  slot.server->rule().Suspend(timer_service::now() + length + kLinkSettleTime);
  if (manner < 0.4) {
    link.Cut();
  } else if (manner >= 0.5) {
    link.Stall();
  }
  if (manner < 0.8) {
    link.IgnoreOpenings();
  }
  Schedule(length, [&link] { link.Heal(); });
}

/// A gateway stands still, once or twice in a row, soon after it has begun to open connections, of
/// which some are to a server that answers no opening. The kernel repeats an opening after a
/// second, so it may be answered while the gateway stands still.
void soak::InjectStandstill() {
  if (traffic_ended_) {
    return;
  }
  std::mt19937_64& random = standstill_random_;
  std::vector<server_slot*> chosen;
  const bool any = Draw(random) < 0.2;
  for (const auto& slot : servers_) {
    if (slot->draining_since == instant{} && (any || slot->service == "plain")) {
      chosen.push_back(slot.get());
    }
  }
  gateway_slot& gateway = *gateways_[random() % gateways_.size()];
  server_slot& server = *chosen[random() % chosen.size()];
  const double manner = Draw(random);
  const milliseconds silence = DrawTime(random, kShortestStandstill, kLongestSilence);
  const milliseconds delay =
      DrawTime(random, milliseconds(0), Draw(random) < 0.5 ? kSoonAfterOpening : kLateAfterOpening);
  // Half of them end while the second opening is answered and a request has time left.
  const bool aimed = Draw(random) < 0.5;
  const milliseconds any_length = DrawTime(random, kShortestStandstill, kLongestStandstill);
  const milliseconds aimed_end = DrawTime(random, kSecondOpening, kPlainDeadline - kShortTimeLeft);
  const milliseconds length = aimed ? aimed_end - delay : any_length;
  const bool again = Draw(random) < 0.3;
  const milliseconds awake = DrawTime(random, milliseconds(0), kSoonAfterOpening);
  const milliseconds second = DrawTime(random, kShortestStandstill, kLongestSecondStandstill);
  const int signal = Draw(random) < 0.2 ? SIGHUP : Draw(random) < 0.2 ? SIGTERM : 0;
  const milliseconds timeout = DrawTime(random, kShortestTimeout, kLongestTimeout);
  if (Draw(random) < 0.5) {
    plain_timeout_ = timeout;
    RecordFault("timeouts changed", std::to_string(timeout.count()) + " ms");
    PublishConfiguration();
  }
  Silence(server, manner, silence);
  const auto can_stop = [&gateway] {
    return gateway.process && !gateway.process->ExitCode() && !gateway.stopping() &&
           !gateway.paused && timer_service::now() - gateway.started > kStartTime;
  };
  if (can_stop()) {
    for (int i = 0; i < kBurst; ++i) {
      SendRequest(request_class::kNonIdempotent, gateway, PathOf(request_class::kNonIdempotent));
    }
  }
  const auto end = [this, &gateway, signal] {
    if (signal == SIGTERM) {
      StopGateway(gateway);
    } else if (signal != 0) {
      gateway.process->Signal(signal);
    }
  };
  Schedule(delay, [=, this, &gateway] {
    if (!can_stop()) {
      return;
    }
    RecordFault(again ? "gateway stands still twice" : "gateway stands still",
                gateway.name + " " + std::to_string(length.count()) + " ms, signal " +
                    std::to_string(signal));
    StandStill(gateway, length, [=, this, &gateway] {
      if (!again) {
        end();
        return;
      }
      Schedule(awake, [=, this, &gateway] {
        if (can_stop()) {
          StandStill(gateway, second, end);
        }
      });
    });
  });
  Schedule(DrawTime(random, milliseconds(300), 2 * kMeanStandstillInterval),
           [this] { InjectStandstill(); });
}

void soak::LiftLimits() {
  for (const auto& slot : servers_) {
    slot->server->SetLimit(std::nullopt);
  }
}

void soak::ExcuseFromLimits(const gateway_slot& slot) {
  for (const auto& each : servers_) {
    each->server->rule().Excuse(slot.name, timer_service::now() + kLimitExcuse);
  }
}

// ---- guarantees ----

void soak::CheckProcesses() {
  for (const auto& slot : gateways_) {
    if (slot->process) {
      CheckProcess(*slot);
    }
  }
}

void soak::CheckProcess(gateway_slot& slot) {
  if (!slot.process->ExitCode()) {
    if (slot.stopping() && timer_service::now() - slot.stopped > kStopBound + milliseconds(500)) {
      ReportViolation("a planned stop ends within its grace period", slot.name);
      slot.process->Kill();
    }
    return;
  }
  const int code = slot.process->ExitCode().value_or(0);
  // Until its code runs, SIGTERM ends a process whatever it does; it has written no line then.
  const bool not_started = code == kTerminatedCode && LogSize(slot) == slot.log_size &&
                           slot.stopped - slot.started < kLoadTime;
  if (slot.stopping() && code != 0 && code != kKilledCode && !not_started) {
    ReportViolation("a planned stop exits with code 0",
                    slot.name + " with code " + std::to_string(code));
  } else if (!slot.stopping() && !slot.killed) {
    ReportViolation("no process exits unexpectedly",
                    slot.name + " with code " + std::to_string(code));
  }
  if (!slot.killed) {
    slot.process.reset();
    Schedule(DrawTime(random_, milliseconds(20), milliseconds(500)),
             [this, &slot] { StartGateway(slot); });
  }
}

void soak::ProbeConfiguration(const std::string& route, instant published) {
  // A store outage after the publication restarts the bound, so the probe is skipped then.
  const bool conclusive = store_disturbed_ < published;
  for (const auto& slot : gateways_) {
    const bool steady = slot->process && !slot->process->ExitCode() && !slot->stopping() &&
                        !slot->paused && slot->started < published &&
                        slot->last_disturbed < published;
    if (conclusive && steady) {
      SendRequest(request_class::kProbe, *slot, route);
    }
  }
}

void soak::CheckDraining(const server_slot& slot) {
  const bool conclusive = store_disturbed_ < slot.draining_since &&
                          std::all_of(gateways_.begin(), gateways_.end(), [&](const auto& gateway) {
                            return gateway->last_disturbed < slot.draining_since &&
                                   gateway->started < slot.draining_since;
                          });
  if (conclusive && slot.server->last_arrival() > slot.draining_since + kDrainBound) {
    ReportViolation("draining servers get no new requests", slot.server->id());
  }
}

void soak::CheckEnd() {
  if (sidecar_->ExitCode()) {
    ReportViolation("no process exits unexpectedly", "the sidecar");
  }
  for (const auto& each : callers_) {
    const run_record::entry& seen = record_.requests[each->id];
    const bool whole = each->end == call_outcome::kWhole;
    ++report_.outcomes[each->disconnected   ? "left"
                       : each->end && whole ? std::to_string(each->status)
                       : each->end          ? std::string(ToString(*each->end))
                                            : "open"];
    if (each->kind == request_class::kProbe) {
      if (whole && each->status == 404) {
        ReportViolation("an accepted configuration takes effect",
                        each->path + " at " + each->gateway.name);
      }
      continue;
    }
    const bool once =
        each->kind == request_class::kNonIdempotent || each->kind == request_class::kStream;
    if (once && seen.runs > 1) {
      ReportViolation("non-idempotent requests run at most once",
                      each->id + " at " + each->gateway.name + " ran" + seen.ran_at);
    }
    // No end of the answer and no fault excuses it: the caller has read the promise.
    const bool refused =
        each->status == 503 || each->status == 429 || each->status == 408 || each->status == 421;
    if (refused && seen.runs > 0) {
      ReportViolation("a request that is answered with 'not run' has not run",
                      each->id + " at " + each->gateway.name + " got " +
                          std::to_string(each->status) + " and ran" + seen.ran_at);
    }
  }
  for (const auto& slot : servers_) {
    if (const std::string names = slot->server->MemoryHolders(); !names.empty()) {
      ReportViolation("memory is released after a caller disconnects",
                      slot->server->id() + " holds" + names);
    }
  }
  const auto windows =
      static_cast<int>((options_.traffic_duration + kStreamDeadline) / kRetryWindow) + 1;
  const double allowed = kRetryRatio * static_cast<double>(callers_.size()) + kRetryExtra * windows;
  if (record_.Retries() > allowed) {
    ReportViolation("retries stay within the budget",
                    std::to_string(record_.Retries()) + " of " + std::to_string(allowed));
  }
}

std::vector<gateway_slot*> soak::SteadyGateways() const {
  std::vector<gateway_slot*> steady;
  for (const auto& slot : gateways_) {
    if (slot->process && !slot->process->ExitCode() && !slot->stopping() &&
        timer_service::now() - slot->started > kConfigurationBound) {
      steady.push_back(slot.get());
    }
  }
  return steady;
}

/// Checks without faults, when each guarantee must hold at every gateway: configurations are in
/// effect, draining servers get no requests, and callers are served.
void soak::CheckWithoutFaults() {
  for (const std::size_t index : {std::size_t{0}, std::size_t{4}}) {
    server_slot& slot = *servers_[index];
    if (slot.draining_since == instant{}) {
      AddServer(slot.server->kind());
      Publish(slot, "draining");
      slot.draining_since = timer_service::now();
    }
  }
  routes_.push_back("/probe" + std::to_string(version_) + "/");
  plain_timeout_ = kPlainDeadline;
  PublishConfiguration();
  environment_.Elapse(std::max(kDrainBound, kConfigurationBound));
  const instant drained_at = timer_service::now();
  const std::size_t first = callers_.size();
  for (gateway_slot* gateway : SteadyGateways()) {
    for (const std::string& route : routes_) {
      SendRequest(request_class::kProbe, *gateway, route);
    }
    for (int i = 0; i < kFaultFreeCallers; ++i) {
      SendRequest(request_class::kNonIdempotent, *gateway, PathOf(request_class::kNonIdempotent));
      SendRequest(request_class::kIdempotent, *gateway, PathOf(request_class::kIdempotent));
      environment_.Elapse(2 * kMeanCallerInterval);
    }
    SendRequest(request_class::kResumableStream, *gateway, PathOf(request_class::kResumableStream));
  }
  environment_.Elapse(kStreamDeadline + milliseconds(500));
  for (const auto& slot : servers_) {
    if (slot->draining_since != instant{} && slot->server->last_arrival() > drained_at) {
      ReportViolation("draining servers get no new requests", slot->server->id());
    }
  }
  for (std::size_t i = first; i < callers_.size(); ++i) {
    const caller& each = *callers_[i];
    if (!each.disconnected && each.status != 200 && each.kind != request_class::kProbe) {
      ReportViolation("callers are served after all faults have ended",
                      each.id + " at " + each.gateway.name + " got " + std::to_string(each.status));
    }
  }
}

soak_report soak::Run() {
  SetUp();
  timer_subscription watch =
      environment_.timers().Every(milliseconds(50), [this](instant /*now*/) { CheckProcesses(); });
  SendRandomRequests();
  InjectFault();
  servers_.front()->server->SetLimit(kFirstLimit);
  InjectLimitChange();
  InjectPause();
  InjectWatchCuts();
  if (options_.gateways_stand_still) {
    InjectStandstill();
  }
  environment_.Elapse(options_.traffic_duration);
  traffic_ended_ = true;
  LiftLimits();
  // All faults, callers and planned stops in progress end during this time.
  environment_.Elapse(kStreamDeadline + milliseconds(500));
  store_link_->Heal();
  store_.SetBehaviour(store_standin::behaviour::kServing);
  environment_.Elapse(kConfigurationBound);
  CheckWithoutFaults();
  watch.Cancel();
  CheckEnd();
  if (!report_.violations.empty() && !options_.log_folder.empty()) {
    const auto folder =
        std::filesystem::path(options_.log_folder) / ("seed-" + std::to_string(options_.seed));
    std::filesystem::copy(environment_.PathOf(""), folder,
                          std::filesystem::copy_options::recursive |
                              std::filesystem::copy_options::overwrite_existing);
  }
  return report_;
}

}  // namespace

soak_report RunSoak(const soak_options& options) { return soak(options).Run(); }

}  // namespace jacinthspool::testing
