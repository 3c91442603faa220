// Sidecars are killed soon after they ordered their replica to change its stage, and start again.
// Checks rule ONE at the replicas: no order has a lower fencing token than an order before it.
#include <set>

#include "../standins/standins.hpp"

using namespace review;

namespace {

constexpr int kRounds = 6;
constexpr double kRoundS = 14;
constexpr int kReplicas = 18;
constexpr int kPrefillAtStart = 9;
constexpr double kSwitchS = 6.0;
constexpr double kOrderDelayMs = 5;
/// At once, of 4 front and 18 side machines: under a share of 0.16.
constexpr int kMaxKilled = 3;
constexpr double kDownMs = 500;

struct order {
  double at;
  std::string holder, stage;
  std::uint64_t fence;
  int status;
};

/// \returns The value of a member of a flat JSON object, without quotes.
std::string Member(const std::string& json, const std::string& name) {
  std::size_t at = json.find("\"" + name + "\":");
  if (at == std::string::npos) {
    return "";
  }
  at += name.size() + 3;
  const bool text = json[at] == '"';
  const std::size_t end = json.find_first_of(text ? "\"" : ",}", at + 1);
  return json.substr(at + (text ? 1 : 0), end - at - (text ? 1 : 0));
}

class replica {
 public:
  replica(record& lines, store& platform, const std::string& id, const std::string& stage)
      : lines_(lines),
        platform_(platform),
        id_(id),
        stage_(stage),
        listener_([this](connection& from) { Serve(from); }) {
    Publish();
  }
  [[nodiscard]] std::string address() const { return listener_.address(); }
  [[nodiscard]] const std::string& id() const { return id_; }
  std::vector<order> orders() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return orders_;
  }
  /// Ends an order whose time has passed.
  void Advance() {
    std::unique_lock<std::mutex> lock(mutex_);
    if (switching_ && Now() >= switched_at_) {
      switching_ = false;
      stage_ = next_;
      lock.unlock();
      Publish();
    }
  }

 private:
  void Publish() {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::string stage = stage_;
    const auto seq = std::to_string(accepted_);
    lock.unlock();
    platform_.Put("servers/" + id_,
                  R"({"service":"wick-llm","address":")" + address() +
                      R"(","zone":"z-a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,)"
                      R"("stage":")" +
                      stage + R"(","models":[{"name":"m","version":1,"adapters":[]}],"seq":)" +
                      seq + R"(,"born":1700000000000})");
  }
  void Serve(connection& from) {
    message call;
    while (from.Read(call, -1)) {
      const std::string expected = call.Header("x-expect-instance");
      if (!expected.empty() && expected != id_) {
        from.Send(Reply(421, "X-Instance-Id: " + id_ + "\r\n", ""));
        continue;
      }
      if (call.target != "/v1/order") {
        from.Send(Reply(404, "", ""));
        continue;
      }
      SleepMs(kOrderDelayMs);
      std::unique_lock<std::mutex> lock(mutex_);
      order got{Now(), Member(call.body, "holder"), Member(call.body, "stage"),
                std::strtoull(Member(call.body, "fence").c_str(), nullptr, 10), 202};
      if (switching_) {
        got.status = 409;
      } else if (got.stage == stage_) {
        got.status = 200;
      } else {
        switching_ = true;
        next_ = got.stage;
        switched_at_ = Now() + kSwitchS;
        ++accepted_;
      }
      orders_.push_back(got);
      lock.unlock();
      lines_.Line("replica %s: order stage=%s holder=%s fence=%llu, answered %d", id_.c_str(),
                  got.stage.c_str(), got.holder.c_str(), static_cast<unsigned long long>(got.fence),
                  got.status);
      from.Send(Reply(got.status, "Content-Type: application/json\r\n", "{}"));
    }
  }

  record& lines_;
  store& platform_;
  std::string id_;
  std::mutex mutex_;
  std::string stage_, next_;
  bool switching_ = false;
  double switched_at_ = 0;
  int accepted_ = 0;
  std::vector<order> orders_;
  listener listener_;
};

struct sidecar {
  std::unique_ptr<process> running;
  std::size_t orders_seen = 0;
  double restart_at = 0;  ///< 0: it runs.
};

/// A deployment from its start on; \returns the orders with a lower fencing token, -1 on failure.
int PlayRound(record& lines, const std::string& program, int round) {
  temporary_folder files;
  // Connections may outlive the round, so these are not destroyed.
  store& platform = *new store;
  std::vector<replica*> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(new replica(lines, platform,
                                   "i-" + std::to_string(round) + std::to_string(100 + i),
                                   i < kPrefillAtStart ? "prefill" : "decode"));
  }
  const std::vector<gateway_ports> ports = NewGatewayPorts(4);
  const std::vector<gateway_ports> seeds(ports.begin(), ports.begin() + 3);
  std::vector<std::unique_ptr<process>> gateways;
  std::vector<sidecar> sidecars(kReplicas);
  const auto start_gateway = [&](std::size_t i) {
    const std::string name = "front-" + std::to_string(i + 1);
    const std::string settings = files.File(name + ".json");
    WriteFile(settings, GatewaySettings(name, ports[i], seeds, platform.address()));
    gateways.push_back(std::make_unique<process>(
        std::vector<std::string>{program, "gateway", "--config", settings},
        files.File(name + ".log")));
    gateways.back()->Start();
  };
  std::string peers;
  for (const gateway_ports& seed : seeds) {
    peers += (peers.empty() ? "" : ",") + ("\"127.0.0.1:" + std::to_string(seed.control) + "\"");
  }
  start_gateway(0);
  start_gateway(1);
  start_gateway(3);
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    const std::string name = "side-" + std::to_string(i + 1);
    const std::string settings = files.File(name + ".json");
    WriteFile(settings, "{\"name\":\"" + name + "\",\"data_centre\":\"z-a\",\"peers\":[" + peers +
                            "],\"sidecar\":{\"engine\":\"" + replicas[i]->address() +
                            "\",\"service\":\"wick-llm\"}}\n");
    sidecars[i].running = std::make_unique<process>(
        std::vector<std::string>{program, "sidecar", "--config", settings},
        files.File(name + ".log"));
    sidecars[i].running->Start();
  }
  SleepMs(150);
  const std::uint64_t written = platform.Put(
      "op/config",
      R"({"version":1,"routes":[{"name":"r","host":"refill.example","prefix":"/a/",)"
      R"("kind":"streaming","timeoutMs":14000,"goalMs":900,"priority":1,"service":"wick-llm",)"
      R"("attempts":2,"sticky":true,"resumable":true,"gapAimMs":300}],)"
      R"("services":[{"name":"wick-llm","healthPath":"/healthz","maxConns":360,"protocol":"h1",)"
      R"("tls":false,"engine":{"slots":64,"kvTokens":33672,"kvTokenBytes":163840,)"
      R"("linkMbps":1400000.0,"stride":12,"most":12,"kvHoldS":0.5,"switchS":6.0,"holdMs":2000.0}}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
      R"("idleTimeoutMs":15000}})");
  lines.Line("round %d: first configuration written at revision %llu", round,
             static_cast<unsigned long long>(written));
  SleepMs(50);
  start_gateway(2);  // 0.2 s after the others.
  for (const gateway_ports& each : ports) {
    if (!WaitUntilReady(each.ready, 5)) {
      lines.Line("a gateway did not become ready");
      return -1;
    }
  }

  const double until = Now() + kRoundS;
  while (Now() < until) {
    SleepMs(10);
    int killed = 0;
    for (const sidecar& each : sidecars) {
      killed += each.restart_at > 0 ? 1 : 0;
    }
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      replicas[i]->Advance();
      sidecar& each = sidecars[i];
      if (each.restart_at > 0 && Now() >= each.restart_at) {
        each.running->Start();
        each.restart_at = 0;
      }
      const std::size_t orders = replicas[i]->orders().size();
      if (orders > each.orders_seen && each.restart_at == 0 && Troubled() && killed < kMaxKilled) {
        each.orders_seen = orders;
        each.running->Kill();
        each.restart_at = Now() + kDownMs / 1000;
        ++killed;
        lines.Line("sidecar side-%zu killed, starts again in %.0f ms", i + 1, kDownMs);
      }
    }
  }
  int lower = 0;
  std::size_t orders = 0;
  for (replica* each : replicas) {
    std::uint64_t highest = 0;
    for (const order& got : each->orders()) {
      ++orders;
      if (got.fence < highest) {
        ++lower;
        lines.Line("ONE: replica %s got an order of %s with fence %llu after one with fence %llu",
                   each->id().c_str(), got.holder.c_str(),
                   static_cast<unsigned long long>(got.fence),
                   static_cast<unsigned long long>(highest));
      }
      highest = std::max(highest, got.fence);
    }
  }
  lines.Line("round %d: %zu orders, %d with a lower fencing token than one before", round, orders,
             lower);
  return orders == 0 ? -1 : lower;
}

}  // namespace

int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  record lines(std::string(arguments[1]) + "/record.txt");
  int lower = 0;
  for (int round = 1; round <= kRounds; ++round) {
    const int found = PlayRound(lines, arguments[2], round);
    if (found < 0) {
      return 2;
    }
    lower += found;
  }
  lines.Line("rule ONE %s", lower > 0 ? "broken" : "held");
  std::fflush(nullptr);
  _exit(lower > 0 ? 1 : 0);
}
