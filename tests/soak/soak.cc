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
#include "tests/process/world.h"
#include "tests/soak/server_standin.h"
#include "tests/soak/store_standin.h"

namespace jacinthspool::testing {
namespace {

using json = nlohmann::json;

// Bounds, from the deployment sheets of the platform.
constexpr milliseconds kConfigurationBound = milliseconds(3000);  // configMs
constexpr milliseconds kLeavingBound = milliseconds(4000);        // touchMs
constexpr milliseconds kStopBound = milliseconds(8000);           // graceS
constexpr double kRepeatRatio = 0.2;                              // budgetRatio
constexpr int kRepeatExtra = 50;                                  // budgetExtra
constexpr seconds kRepeatWindow = seconds(10);                    // budgetWindowS
/// The balancer asks once a second, and sends callers until the second miss.
constexpr milliseconds kBalancerBound = milliseconds(2000);

constexpr int kKilledCode = 128 + SIGKILL;             ///< `child_process::ExitCode` after SIGKILL.
constexpr milliseconds kCallerGap = milliseconds(15);  ///< Mean time between two callers.
constexpr milliseconds kPlainDeadline = milliseconds(1500);
constexpr milliseconds kStreamDeadline = milliseconds(4000);
constexpr milliseconds kStartTime = milliseconds(300);  ///< A process listens well before.
/// A caller that leaves is known to have left, and its run has ended.
constexpr milliseconds kLeftBound = milliseconds(1000);
constexpr int kCalmCallers = 10;       ///< Of each plain kind, at each gateway, after the faults.
constexpr double kLeavingShare = 0.1;  ///< Callers that leave early.

/// One gateway and the fate of its process.
struct gateway_slot {
  std::string name;
  std::string settings;
  std::string address;
  std::unique_ptr<child_process> process;
  int starts = 0;
  instant started{};
  instant stopped{};         ///< When SIGTERM was sent; the epoch if it was not.
  instant last_disturbed{};  ///< Killed, paused or continued.
  bool paused = false;
  bool killed = false;  ///< By the soak, which starts it again.

  [[nodiscard]] bool stopping() const { return stopped != instant{}; }
};

/// One backend server behind the link that faults are played on.
struct server_slot {
  std::unique_ptr<server_standin> server;
  std::unique_ptr<relay> link;
  std::string service;
  std::string stage;
  instant left{};  ///< When its leaving was published; the epoch if it was not.
};

enum class request_class { kOnce, kAgain, kStream, kBrittle, kProbe };

constexpr const char* PathOf(request_class kind) {
  switch (kind) {
    case request_class::kOnce:
      return "/once/";
    case request_class::kAgain:
      return "/again/";
    case request_class::kStream:
      return "/stream/";
    case request_class::kBrittle:
    case request_class::kProbe:
      break;
  }
  return "/brittle/";
}

class soak;

/// One request of a caller, and what came of it. It stays until the end of the soak, for the final
/// check.
struct caller : http1_call_listener {
  soak& owner;
  std::string id;
  request_class kind;
  std::string path;
  gateway_slot& gateway;
  int gateway_start;  ///< Which start of the gateway's process it was sent to.
  instant begun;
  std::unique_ptr<http1_call> call;
  timer_subscription leaves;
  int status = 0;
  std::string echoed;
  std::string body;
  std::optional<call_end> end;
  bool left = false;

  caller(soak& the_owner, std::string the_id, request_class the_kind, std::string the_path,
         gateway_slot& the_gateway)
      : owner(the_owner),
        id(std::move(the_id)),
        kind(the_kind),
        path(std::move(the_path)),
        gateway(the_gateway),
        gateway_start(the_gateway.starts),
        begun(timer_service::now()) {}

  head_verdict OnHead(const http1_head& head) override {
    status = head.status;
    echoed = std::string(head.Find("X-Request-Id").value_or(""));
    return head_verdict::kTake;
  }
  void OnBody(std::string_view bytes) override { body += bytes; }
  void OnEnd(call_end the_end, const std::string& reason) override;

  [[nodiscard]] bool streams() const {
    return kind == request_class::kStream || kind == request_class::kBrittle;
  }
};

class soak {
 public:
  explicit soak(const soak_options& options)
      : options_(options),
        random_(options.seed),
        fault_random_(options.seed),
        client_({.loop = environment_.loop(), .timers = environment_.timers()}),
        store_(environment_.loop(), environment_.timers()) {}

  soak_report Play();
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
  void Later(milliseconds delay, std::function<void()> action) {
    later_.push_back(environment_.timers().After(
        delay, [action = std::move(action)](instant /*now*/) { action(); }));
  }
  /// Writes down a fault beside the processes' logs.
  void Played(const std::string& fault, const std::string& where) {
    ++report_.faults[fault];
    const std::chrono::duration<double> at = timer_service::now() - begun_;
    diary_ << std::fixed << at.count() << " " << fault << " " << where << std::endl;
  }
  void Broken(const std::string& promise, const std::string& what) {
    report_.broken.push_back(promise + ": " + what);
  }

  void SetUp();
  void StartGateway(gateway_slot& slot);
  void StopGateway(gateway_slot& slot);
  server_slot& AddServer(server_standin::role kind);
  void Publish(const server_slot& slot, const char* state);
  void PublishConfiguration();

  void Ask(request_class kind, gateway_slot& gateway, const std::string& path);
  void AskAtRandom();
  void PlayFault();
  void PlayProcessFault(gateway_slot& slot);
  void PlayStoreFault();
  void PlayServerFault();
  void PlayOperator();
  void CheckProcesses();
  void CheckProcess(gateway_slot& slot);
  void ProbeConfiguration(const std::string& route, instant published);
  void CheckLeaving(const server_slot& slot);
  void PlayCalmEnd();
  [[nodiscard]] std::vector<gateway_slot*> SteadyGateways() const;
  void CheckEnd();
  void CheckAnswer(const caller& ended);
  void CheckLeft(const caller& gone);

  soak_options options_;
  std::mt19937_64 random_;        ///< Callers and restarts.
  std::mt19937_64 fault_random_;  ///< Begins anew with each fault, so that timing changes no plan.
  std::uint64_t faults_played_ = 0;
  test_environment environment_;
  http1_client client_;
  run_ledger ledger_;
  store_standin store_;
  std::unique_ptr<relay> store_link_;
  std::vector<std::unique_ptr<gateway_slot>> gateways_;
  std::unique_ptr<child_process> sidecar_;
  std::vector<std::unique_ptr<server_slot>> servers_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::vector<timer_subscription> later_;
  soak_report report_;
  std::ofstream diary_{environment_.PathOf("faults.log")};
  instant begun_ = timer_service::now();
  std::vector<std::string> routes_ = {"/once/", "/again/", "/stream/", "/brittle/"};
  std::uint64_t version_ = 3;
  instant store_disturbed_{};   ///< Last moment at which the store was not served as usual.
  instant server_disturbed_{};  ///< The same for any backend server or its link.
  bool ending_ = false;
};

void caller::OnEnd(call_end the_end, const std::string& reason) {
  end = the_end;
  leaves.Cancel();
  call.reset();
  owner.OnCallerEnded(*this, reason);
}

// ---- the system ----

server_slot& soak::AddServer(server_standin::role kind) {
  auto added = std::make_unique<server_slot>();
  added->server = std::make_unique<server_standin>(
      server_standin::options{.loop = environment_.loop(),
                              .timers = environment_.timers(),
                              .ledger = ledger_,
                              .id = "i-" + std::to_string(servers_.size()),
                              .kind = kind});
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
                      {"timeoutMs", streams ? kStreamDeadline.count() : kPlainDeadline.count()},
                      {"goalMs", 300},
                      {"service", streams ? "model" : "plain"},
                      {"resumable", path == "/stream/"}});
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
  PublishConfiguration();
  for (int i = 0; i < 3; ++i) {
    AddServer(server_standin::role::kPlain);
  }
  for (int i = 0; i < 2; ++i) {
    AddServer(server_standin::role::kPrefill);
    AddServer(server_standin::role::kDecode);
  }
  std::vector<std::string> snapshots(options_.gateways);
  for (int i = 0; i < options_.gateways; ++i) {
    snapshots[i] = environment_.FreeAddress();
  }
  for (int i = 0; i < options_.gateways; ++i) {
    auto slot = std::make_unique<gateway_slot>();
    slot->name = "gateway-" + std::to_string(i);
    slot->address = environment_.FreeAddress();
    slot->settings = environment_.WriteFile(slot->name + ".json",
                                            json{{"name", slot->name},
                                                 {"data_centre", "dc"},
                                                 {"listen", slot->address},
                                                 {"peers", snapshots},
                                                 {"gateway",
                                                  {{"ready_listen", environment_.FreeAddress()},
                                                   {"snapshot_listen", snapshots[i]},
                                                   {"metrics_listen", environment_.FreeAddress()},
                                                   {"publisher", store_link_->address()},
                                                   {"repeat_ratio", kRepeatRatio},
                                                   {"repeat_extra", kRepeatExtra},
                                                   {"stop_grace_s", kStopBound / seconds(1)}}}}
                                                .dump());
    gateways_.push_back(std::move(slot));
    StartGateway(*gateways_.back());
  }
  const std::string sidecar = environment_.WriteFile(
      "sidecar.json",
      json{{"name", "sidecar-0"},
           {"data_centre", "dc"},
           {"peers", snapshots},
           {"sidecar", {{"engine", servers_[3]->link->address()}, {"service", "model"}}}}
          .dump());
  sidecar_ = std::make_unique<child_process>(
      JACINTHSPOOL_BINARY, std::vector<std::string>{"sidecar", "--config", sidecar},
      environment_.PathOf("sidecar-0.log"));
  environment_.Elapse(kStartTime + milliseconds(700));
}

void soak::StartGateway(gateway_slot& slot) {
  slot.process = std::make_unique<child_process>(
      JACINTHSPOOL_BINARY, std::vector<std::string>{"gateway", "--config", slot.settings},
      environment_.PathOf(slot.name + ".log"));
  ++slot.starts;
  slot.started = timer_service::now();
  slot.stopped = {};
  slot.paused = false;
  slot.killed = false;
}

void soak::StopGateway(gateway_slot& slot) {
  slot.process->Signal(SIGTERM);
  slot.stopped = timer_service::now();
}

// ---- callers ----

void soak::Ask(request_class kind, gateway_slot& gateway, const std::string& path) {
  const bool streams = kind == request_class::kStream || kind == request_class::kBrittle;
  const milliseconds deadline = streams ? kStreamDeadline : kPlainDeadline;
  const std::string id = "r" + std::to_string(callers_.size());
  callers_.push_back(std::make_unique<caller>(*this, id, kind, path, gateway));
  caller& added = *callers_.back();
  std::string bytes = "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n";
  if (streams) {
    bytes += "X-Model: m\r\nX-Token-Count: 3000,100\r\nX-Length-Hint: 50\r\n";
  }
  added.call = client_.Start(
      {.address = gateway.address, .bytes = bytes + "Content-Length: 4\r\n\r\nbody"}, added);
  const bool early = kind != request_class::kProbe && Draw(random_) < kLeavingShare;
  const milliseconds stays =
      early ? DrawTime(random_, milliseconds(5), milliseconds(400)) : deadline;
  added.leaves = environment_.timers().After(stays, [this, &added](instant /*now*/) {
    added.left = true;
    added.call.reset();
    Later(kLeftBound, [this, &added] { CheckLeft(added); });
  });
}

void soak::AskAtRandom() {
  if (ending_) {
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
    const request_class kind = drawn < 0.45  ? request_class::kOnce
                               : drawn < 0.7 ? request_class::kAgain
                               : drawn < 0.9 ? request_class::kStream
                                             : request_class::kBrittle;
    Ask(kind, *reachable[random_() % reachable.size()], PathOf(kind));
  }
  Later(std::max(milliseconds(1), DrawTime(random_, milliseconds(0), 2 * kCallerGap)),
        [this] { AskAtRandom(); });
}

void soak::OnCallerEnded(caller& ended, const std::string& reason) {
  const gateway_slot& gateway = ended.gateway;
  const instant now = timer_service::now();
  if (ended.kind == request_class::kProbe) {
    return;
  }
  CheckAnswer(ended);
  const bool broken_off = *ended.end == call_end::kLost || *ended.end == call_end::kCut;
  const bool same_process = gateway.starts == ended.gateway_start;
  if (!broken_off || !same_process || gateway.last_disturbed >= ended.begun) {
    return;
  }
  const int runs = ledger_.requests[ended.id].runs;
  // An idle connection may be closed while a request is on its way, once the balancer has turned
  // away: the caller may repeat that, provided it has not run.
  const bool closing_race = gateway.stopping() && *ended.end == call_end::kLost &&
                            ended.begun - gateway.stopped > kBalancerBound && runs == 0;
  // A stream whose engine breaks can only be cut.
  const bool engine_broke = *ended.end == call_end::kCut && server_disturbed_ >= ended.begun;
  if (!closing_race && !engine_broke) {
    Broken(gateway.stopping() ? "planned stop cuts nothing" : "each request is answered",
           ended.id + " at " + gateway.name + " " + std::string(ToString(*ended.end)) + " " +
               reason + ", " + std::to_string((now - ended.begun) / milliseconds(1)) +
               " ms after it was sent");
  }
}

void soak::CheckLeft(const caller& gone) {
  const bool judged = gone.gateway.starts == gone.gateway_start &&
                      gone.gateway.last_disturbed < gone.begun && server_disturbed_ < gone.begun;
  for (const auto& slot : servers_) {
    if (judged && slot->server->Runs(gone.id)) {
      Broken("no memory for callers that left", gone.id + " still runs at " + slot->server->id());
    }
  }
}

void soak::CheckAnswer(const caller& ended) {
  if (*ended.end == call_end::kMalformed) {
    Broken("answers are sound", ended.id);
  }
  if (*ended.end != call_end::kWhole || ended.status < 200 || ended.status >= 300) {
    return;
  }
  if (ended.echoed != ended.id) {
    Broken("an answer belongs to its request", ended.id + " got that of " + ended.echoed);
  }
  std::string expected = "answer to " + ended.id;
  if (ended.streams()) {
    expected.clear();
    for (int event = 1; event <= server_standin::kEvents; ++event) {
      expected += "id: " + std::to_string(event) + "\ndata: token\n\n";
    }
  }
  if (ended.body != expected) {
    Broken("answers are whole", ended.id + " got " + std::to_string(ended.body.size()) + " of " +
                                    std::to_string(expected.size()) + " bytes");
  }
}

// ---- faults ----

void soak::PlayFault() {
  if (ending_) {
    return;
  }
  fault_random_.seed(options_.seed * 1000 + ++faults_played_);
  const milliseconds next = DrawTime(fault_random_, milliseconds(10), 2 * options_.fault_gap);
  const double drawn = Draw(fault_random_);
  if (drawn < 0.35) {
    PlayProcessFault(Pick(gateways_));
  } else if (drawn < 0.5) {
    PlayStoreFault();
  } else if (drawn < 0.8) {
    PlayServerFault();
  } else {
    PlayOperator();
  }
  Later(next, [this] { PlayFault(); });
}

void soak::PlayProcessFault(gateway_slot& slot) {
  if (!slot.process || slot.process->ExitCode() || slot.stopping() || slot.paused) {
    return;
  }
  const double drawn = Draw(fault_random_);
  if (drawn < 0.3) {
    Played("gateway killed", slot.name);
    slot.last_disturbed = timer_service::now();
    slot.killed = true;
    slot.process->Kill();
    Later(DrawTime(fault_random_, milliseconds(50), milliseconds(800)),
          [this, &slot] { StartGateway(slot); });
  } else if (drawn < 0.65) {
    Played("gateway stopped", slot.name);
    StopGateway(slot);
  } else if (drawn < 0.9) {
    Played("gateway paused", slot.name);
    slot.paused = true;
    slot.last_disturbed = timer_service::now();
    slot.process->Signal(SIGSTOP);
    Later(DrawTime(fault_random_, milliseconds(50), milliseconds(1500)), [&slot] {
      slot.process->Signal(SIGCONT);
      slot.last_disturbed = timer_service::now();
      slot.paused = false;
    });
  } else {
    Played("gateway reloaded", slot.name);
    slot.process->Signal(SIGHUP);
  }
}

void soak::PlayStoreFault() {
  const double drawn = Draw(fault_random_);
  const milliseconds length = DrawTime(fault_random_, milliseconds(200), milliseconds(2000));
  store_disturbed_ = std::max(store_disturbed_, timer_service::now() + length);
  if (drawn < 0.15) {
    Played("store compacted", "");
    store_.Compact();
  } else if (drawn < 0.3) {
    Played("store comes back from a copy", "");
    store_.Copy();
    Later(length / 2, [this] { store_.ComeBackFromCopy(); });
    Later(length, [this] { store_.WriteAgain(); });
  } else if (drawn < 0.45) {
    Played("store link cut", "");
    store_link_->Cut();
    Later(length, [this] { store_link_->Heal(); });
  } else if (drawn < 0.6) {
    Played("store answers stalled", "");
    store_link_->StallReplies();
    Later(length, [this] { store_link_->Heal(); });
  } else {
    Played("store away", std::to_string(drawn));
    store_.Behave(drawn < 0.75  ? store_standin::conduct::kBusy
                  : drawn < 0.9 ? store_standin::conduct::kSilent
                                : store_standin::conduct::kLosing);
    Later(length, [this] { store_.Behave(store_standin::conduct::kServing); });
  }
}

void soak::PlayServerFault() {
  server_slot& slot = Pick(servers_);
  const double drawn = Draw(fault_random_);
  const milliseconds length = DrawTime(fault_random_, milliseconds(100), milliseconds(1500));
  server_disturbed_ = std::max(server_disturbed_, timer_service::now() + length);
  if (drawn < 0.5) {
    Played("server link", slot.server->id() + " " + std::to_string(drawn));
    relay& link = *slot.link;
    drawn < 0.2   ? link.Cut()
    : drawn < 0.3 ? link.Stall()
    : drawn < 0.4 ? link.StallReplies()
                  : link.StallRequests();
    Later(length, [&link] { link.Heal(); });
  } else {
    Played("server conduct", slot.server->id() + " " + std::to_string(drawn));
    slot.server->Behave(drawn < 0.7    ? server_standin::conduct::kFull
                        : drawn < 0.85 ? server_standin::conduct::kFailing
                                       : server_standin::conduct::kSilent);
    Later(length, [&slot] { slot.server->Behave(server_standin::conduct::kGood); });
  }
}

void soak::PlayOperator() {
  const double drawn = Draw(fault_random_);
  const instant now = timer_service::now();
  if (drawn < 0.6) {
    Played("configuration changed", std::to_string(version_));
    routes_.push_back("/probe" + std::to_string(version_) + "/");
    PublishConfiguration();
    Later(kConfigurationBound,
          [this, route = routes_.back(), now] { ProbeConfiguration(route, now); });
    return;
  }
  server_slot& slot = Pick(servers_);
  if (drawn < 0.85 && slot.left == instant{}) {
    Played("server leaves", slot.server->id());
    // Another takes its place first, as in a release.
    AddServer(slot.server->kind());
    Publish(slot, "draining");
    slot.left = now;
    Later(kLeavingBound + milliseconds(500), [this, &slot] {
      CheckLeaving(slot);
      store_.Remove("servers/" + slot.server->id());
    });
  } else {
    Played("server added", "");
    AddServer(server_standin::role::kPlain);
  }
}

// ---- promises ----

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
      Broken("a planned stop ends within its grace", slot.name);
      slot.process->Kill();
    }
    return;
  }
  const int code = slot.process->ExitCode().value_or(0);
  if (slot.stopping() && code != 0 && code != kKilledCode) {
    Broken("a planned stop ends well", slot.name + " with code " + std::to_string(code));
  } else if (!slot.stopping() && !slot.killed) {
    Broken("no process ends by itself", slot.name + " with code " + std::to_string(code));
  }
  if (!slot.killed) {
    slot.process.reset();
    Later(DrawTime(random_, milliseconds(20), milliseconds(500)),
          [this, &slot] { StartGateway(slot); });
  }
}

void soak::ProbeConfiguration(const std::string& route, instant published) {
  // An outage that ended less than the bound ago gives the bound anew.
  const bool judged = store_disturbed_ < published;
  for (const auto& slot : gateways_) {
    const bool steady = slot->process && !slot->process->ExitCode() && !slot->stopping() &&
                        !slot->paused && slot->started < published &&
                        slot->last_disturbed < published;
    if (judged && steady) {
      Ask(request_class::kProbe, *slot, route);
    }
  }
}

void soak::CheckLeaving(const server_slot& slot) {
  const bool judged = store_disturbed_ < slot.left &&
                      std::all_of(gateways_.begin(), gateways_.end(), [&](const auto& gateway) {
                        return gateway->last_disturbed < slot.left && gateway->started < slot.left;
                      });
  if (judged && slot.server->last_arrival() > slot.left + kLeavingBound) {
    Broken("leaving servers get no new work", slot.server->id());
  }
}

void soak::CheckEnd() {
  if (sidecar_->ExitCode()) {
    Broken("no process ends by itself", "the sidecar");
  }
  for (const auto& each : callers_) {
    const run_ledger::entry& seen = ledger_.requests[each->id];
    const bool whole = each->end == call_end::kWhole;
    ++report_.outcomes[each->left           ? "left"
                       : each->end && whole ? std::to_string(each->status)
                       : each->end          ? std::string(ToString(*each->end))
                                            : "open"];
    if (each->kind == request_class::kProbe) {
      if (whole && each->status == 404) {
        Broken("accepted configuration is in force", each->path + " at " + each->gateway.name);
      }
      continue;
    }
    const bool once = each->kind == request_class::kOnce || each->kind == request_class::kBrittle;
    if (once && seen.runs > 1) {
      Broken("not repeatable, at most once",
             each->id + " ran " + std::to_string(seen.runs) + " times");
    }
    if (whole && (each->status == 503 || each->status == 429) && seen.runs > 0) {
      Broken("'not run' is true", each->id + " ran " + std::to_string(seen.runs) + " times");
    }
  }
  for (const auto& slot : servers_) {
    if (const std::string names = slot->server->Occupants(); !names.empty()) {
      Broken("no memory for callers that left", slot->server->id() + " keeps" + names);
    }
  }
  const auto windows = static_cast<int>((options_.traffic + kStreamDeadline) / kRepeatWindow) + 1;
  const double allowed =
      kRepeatRatio * static_cast<double>(callers_.size()) + kRepeatExtra * windows;
  if (ledger_.Repeats() > allowed) {
    Broken("repeats stay within the budget",
           std::to_string(ledger_.Repeats()) + " of " + std::to_string(allowed));
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

/// Without faults every promise can be judged: configurations in force, servers that have left,
/// and that callers are served again.
void soak::PlayCalmEnd() {
  for (const std::size_t leaving : {std::size_t{0}, std::size_t{4}}) {
    server_slot& slot = *servers_[leaving];
    if (slot.left == instant{}) {
      AddServer(slot.server->kind());
      Publish(slot, "draining");
      slot.left = timer_service::now();
    }
  }
  routes_.push_back("/probe" + std::to_string(version_) + "/");
  PublishConfiguration();
  environment_.Elapse(std::max(kLeavingBound, kConfigurationBound));
  const instant calm = timer_service::now();
  const std::size_t first = callers_.size();
  for (gateway_slot* gateway : SteadyGateways()) {
    for (const std::string& route : routes_) {
      Ask(request_class::kProbe, *gateway, route);
    }
    for (int i = 0; i < kCalmCallers; ++i) {
      Ask(request_class::kOnce, *gateway, PathOf(request_class::kOnce));
      Ask(request_class::kAgain, *gateway, PathOf(request_class::kAgain));
      environment_.Elapse(2 * kCallerGap);
    }
    Ask(request_class::kStream, *gateway, PathOf(request_class::kStream));
  }
  environment_.Elapse(kStreamDeadline + milliseconds(500));
  for (const auto& slot : servers_) {
    if (slot->left != instant{} && slot->server->last_arrival() > calm) {
      Broken("leaving servers get no new work", slot->server->id());
    }
  }
  for (std::size_t i = first; i < callers_.size(); ++i) {
    const caller& each = *callers_[i];
    if (!each.left && each.status != 200 && each.kind != request_class::kProbe) {
      Broken("callers are served again once all is well",
             each.id + " at " + each.gateway.name + " got " + std::to_string(each.status));
    }
  }
}

soak_report soak::Play() {
  SetUp();
  timer_subscription watch =
      environment_.timers().Every(milliseconds(50), [this](instant /*now*/) { CheckProcesses(); });
  AskAtRandom();
  PlayFault();
  environment_.Elapse(options_.traffic);
  ending_ = true;
  // Every fault ends by itself; the last callers and stops do too.
  environment_.Elapse(kStreamDeadline + milliseconds(500));
  store_link_->Heal();
  store_.Behave(store_standin::conduct::kServing);
  environment_.Elapse(kConfigurationBound);
  PlayCalmEnd();
  watch.Cancel();
  CheckEnd();
  if (!report_.broken.empty() && !options_.keep_logs.empty()) {
    const auto folder =
        std::filesystem::path(options_.keep_logs) / ("seed-" + std::to_string(options_.seed));
    std::filesystem::copy(environment_.PathOf(""), folder,
                          std::filesystem::copy_options::recursive |
                              std::filesystem::copy_options::overwrite_existing);
  }
  return report_;
}

}  // namespace

soak_report PlaySoak(const soak_options& options) { return soak(options).Play(); }

}  // namespace jacinthspool::testing
