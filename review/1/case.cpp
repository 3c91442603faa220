// A gateway stands still while one of its connections to a replica is being opened.
// Checks rules REFUSED and TWICE for bookings, which are not idempotent.
#include <random>

#include "../standins/standins.hpp"

using namespace review;

namespace {

constexpr int kEvents = 21;
constexpr double kEventEveryMs = 4600;
/// The replica answers nothing for this long, not even to the opening of a connection.
constexpr double kDarkMs = 950;
/// From the start of that until the gateway stands still, and for how long it does.
constexpr double kFreezeAfterMs = 380;
constexpr double kFreezeMs = 1050;
constexpr int kClients = 18;
constexpr double kBookingsPerS = 16.2;
constexpr double kDeadlineMs = 1500;
constexpr double kWorkMs = 60;

struct run {
  double at;
  std::string replica;
};

struct shared {
  explicit shared(const std::string& path) : lines(path) {}
  record lines;
  std::mutex mutex;
  std::map<std::string, std::vector<run>> runs;           ///< By request id.
  std::map<std::string, std::pair<double, int>> answers;  ///< Time and status, by request id.
  std::atomic<bool> stop = false;
  std::atomic<int> sent = 0, number = 0;
};

double Uniform(double least, double most) {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return std::uniform_real_distribution<double>(least, most)(random);
}

/// A sound replica that can go dark: then its kernel drops the packets that open a connection,
/// since its queue of new connections is full, and nothing is read.
class replica {
 public:
  replica(shared& all, std::string id) : all_(all), id_(std::move(id)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = Loopback(0);
    socklen_t length = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), length) != 0 || listen(fd_, 256) != 0) {
      std::exit(2);
    }
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  [[nodiscard]] const std::string& id() const { return id_; }

  void GoDark() {
    dark_ = true;
    SleepMs(5);
    listen(fd_, 0);
    // Fills the queue.
    for (int i = 0; i < 2; ++i) {
      const int filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      const sockaddr_in address = Loopback(port_);
      (void)connect(filler, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
      fillers_.push_back(filler);
    }
  }
  void Return() {
    for (const int filler : fillers_) {
      close(filler);
    }
    fillers_.clear();
    listen(fd_, 256);
    dark_ = false;
  }

 private:
  void Accept() {
    while (true) {
      pollfd waiting{fd_, POLLIN, 0};
      if (dark_ || poll(&waiting, 1, 2) <= 0 || dark_) {
        SleepMs(1);
        continue;
      }
      const int accepted = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted >= 0) {
        std::thread([this, accepted] {
          connection from(accepted);
          Serve(from);
        }).detach();
      }
    }
  }
  void WaitWhileDark() const {
    while (dark_) {
      SleepMs(1);
    }
  }
  void Serve(connection& from) {
    message request;
    // An idle connection is closed after a second.
    while (from.Read(request, 1000)) {
      WaitWhileDark();
      const std::string expected = request.Header("x-expect-instance");
      const std::string id = request.Header("x-request-id");
      if (request.target == "/healthz") {
        from.Send(Reply(200, "X-Instance-Id: " + id_ + "\r\n", ""));
        continue;
      }
      if (!expected.empty() && expected != id_) {
        from.Send(Reply(421, "X-Instance-Id: " + id_ + "\r\n", ""));
        continue;
      }
      {
        const std::lock_guard<std::mutex> lock(all_.mutex);
        all_.runs[id].push_back({Now(), id_});
      }
      SleepMs(kWorkMs);
      WaitWhileDark();
      if (!from.Send(Reply(
              200, "X-Request-Id: " + id + "\r\nX-Server-Stamp: 1.2.3\r\nKeep-Alive: timeout=1\r\n",
              "booked " + request.body))) {
        return;
      }
    }
  }

  shared& all_;
  std::string id_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> dark_ = false;
  std::vector<int> fillers_;
};

/// Books halls, on a new connection each time; tries once more after an answer that promises that
/// the request has not run.
void RunClient(shared& all, const std::vector<gateway_ports>& gateways) {
  while (!all.stop) {
    SleepMs(Uniform(0, 2000 * kClients / kBookingsPerS));
    const std::string booking = "hall-" + std::to_string(++all.number);
    const double started = Now();
    for (int attempt = 1; attempt <= 2; ++attempt) {
      const double left = kDeadlineMs - (Now() - started) * 1000;
      const int fd = Connect(gateways[static_cast<std::size_t>(Uniform(0, 1.999))].front);
      if (fd < 0 || left < 50) {
        break;
      }
      connection to(fd);
      const std::string id = booking + "-" + std::to_string(attempt);
      ++all.sent;
      to.Send("POST /book/hall HTTP/1.1\r\nHost: calendar.example\r\nX-Request-Id: " + id +
              "\r\nX-Deadline-Ms: " + std::to_string(static_cast<int>(left)) +
              "\r\nContent-Length: " + std::to_string(booking.size()) + "\r\n\r\n" + booking);
      message answer;
      const bool answered = to.Read(answer, left);
      const std::lock_guard<std::mutex> lock(all.mutex);
      all.answers[id] = {Now(), answered ? answer.status : 0};
      if (!answered || (answer.status != 503 && answer.status != 429)) {
        break;
      }
      all.lines.Line("booking %s: answered %d, Retry-After %s", id.c_str(), answer.status,
                     answer.Header("retry-after").c_str());
    }
  }
}

int Run(char** arguments) {
  // Connections may outlive this function, so what they use is not destroyed.
  shared& all = *new shared(std::string(arguments[1]) + "/record.txt");
  const std::string program = arguments[2];
  temporary_folder files;
  store& platform = *new store;
  std::vector<replica*> replicas;
  for (int i = 0; i < 3; ++i) {
    replicas.push_back(new replica(all, "i-" + std::to_string(i)));
    platform.Put("servers/" + replicas.back()->id(),
                 R"({"service":"calendar-app","address":")" + replicas.back()->address() +
                     R"(","zone":"z-a","version":"v1","slots":6,"state":"ready","coldLeftMs":0,)"
                     R"("seq":0,"born":1700000000000})");
  }
  platform.Put(
      "op/config",
      R"({"version":1,"routes":[{"name":"r","host":"calendar.example","prefix":"/book/",)"
      R"("kind":"non_idempotent","timeoutMs":800,"goalMs":300,"priority":2,)"
      R"("service":"calendar-app","attempts":1,"sticky":false,"resumable":false}],)"
      R"("services":[{"name":"calendar-app","healthPath":"/healthz","maxConns":96,)"
      R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
      R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
  const std::vector<gateway_ports> ports = NewGatewayPorts(2);
  std::vector<std::unique_ptr<process>> gateways;
  for (std::size_t i = 0; i < ports.size(); ++i) {
    const std::string name = "front-" + std::to_string(i + 1);
    const std::string settings = files.File(name + ".json");
    WriteFile(settings, GatewaySettings(name, ports[i], ports, platform.address()));
    gateways.push_back(std::make_unique<process>(
        std::vector<std::string>{program, "gateway", "--config", settings},
        files.File(name + ".log")));
    gateways.back()->Start();
  }
  for (const gateway_ports& each : ports) {
    if (!WaitUntilReady(each.ready, 10)) {
      all.lines.Line("a gateway did not become ready");
      return 2;
    }
  }
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(RunClient, std::ref(all), std::cref(ports));
  }
  SleepMs(4000);
  for (int event = 0; event < kEvents; ++event) {
    replica& dark = *replicas[static_cast<std::size_t>(event) % replicas.size()];
    const process& frozen = *gateways[static_cast<std::size_t>(event) % gateways.size()];
    const double begun = Now() * 1000;
    if (Troubled()) {
      all.lines.Line("replica %s goes dark", dark.id().c_str());
      dark.GoDark();
      SleepMs(begun + kFreezeAfterMs - Now() * 1000);
      all.lines.Line("gateway front-%d stands still", event % 2 + 1);
      frozen.Signal(SIGSTOP);
      SleepMs(begun + kDarkMs - Now() * 1000);
      dark.Return();
      all.lines.Line("replica %s is back", dark.id().c_str());
      SleepMs(begun + kFreezeAfterMs + kFreezeMs - Now() * 1000);
      frozen.Signal(SIGCONT);
      all.lines.Line("gateway front-%d goes on", event % 2 + 1);
    }
    SleepMs(begun + kEventEveryMs - Now() * 1000);
  }
  all.stop = true;
  for (std::thread& each : clients) {
    each.join();
  }
  SleepMs(500);
  int refused_and_run = 0, twice = 0, answered = 0, refused = 0, failed = 0;
  const std::lock_guard<std::mutex> lock(all.mutex);
  for (const auto& [id, answer] : all.answers) {
    const auto found = all.runs.find(id);
    const std::size_t runs = found == all.runs.end() ? 0 : found->second.size();
    answered += answer.second == 200 ? 1 : 0;
    refused += answer.second == 503 || answer.second == 429 ? 1 : 0;
    failed += answer.second >= 500 && answer.second != 503 ? 1 : 0;
    if (runs > 1) {
      ++twice;
      all.lines.Line("TWICE: %s ran %zu times", id.c_str(), runs);
    }
    if (runs > 0 && (answer.second == 503 || answer.second == 429)) {
      ++refused_and_run;
      all.lines.Line("REFUSED: %s was answered %d at %.3f and ran at replica %s at %.3f",
                     id.c_str(), answer.second, answer.first, found->second[0].replica.c_str(),
                     found->second[0].at);
      const auto again = all.runs.find(id.substr(0, id.size() - 1) + "2");
      if (id.back() == '1' && again != all.runs.end()) {
        all.lines.Line("  the client sent it again as %s, which ran too", again->first.c_str());
      }
    }
  }
  all.lines.Line("sent %d, answered 200: %d, refused %d, failed %d", all.sent.load(), answered,
                 refused, failed);
  for (auto& each : gateways) {
    each->Signal(SIGCONT);
    each->Kill();
  }
  all.lines.Line("refused and run: %d, run twice: %d", refused_and_run, twice);
  if (answered < 100) {
    return 2;
  }
  return refused_and_run + twice > 0 ? 1 : 0;
}

}  // namespace

int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  const int code = Run(arguments);
  std::fflush(nullptr);
  _exit(code);
}
