// Measures the cost of a connection between two processes that carries no
// requests: handshake, memory and heartbeats. Both sides run in one process, so
// each figure is the sum for an entry and an agent. Prints one JSON line.
#include <tclap/CmdLine.h>

#include <cstdint>
#include <exception>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/process_cost.h"
#include "src/transport/peer.h"

namespace jacinthspool {
namespace {

/// Length prefix of an envelope (4 bytes) and header of an HTTP/2 frame (9 bytes).
constexpr std::size_t kFramingBytes = 4 + 9;

struct connection_cost_options {
  std::size_t connections;
  std::uint64_t rounds;
  microseconds period;
};

heartbeat AgentHeartbeat(std::uint64_t sequence) {
  heartbeat beat;
  beat.sequence = sequence;
  beat.settings_digest = ~sequence;
  beat.load = std::make_unique<agent_load>();
  beat.load->pieces_total = 20;
  beat.load->pieces_held = 18;
  beat.load->running = 18;
  beat.load->queued = 3;
  beat.load->queue_wait = milliseconds(120);
  return beat;
}

/// \brief Connects many clients to one server; measures the handshakes, then the heartbeats.
class connection_bench {
 public:
  explicit connection_bench(const connection_cost_options& options) : options_(options) {}

  /// \returns false and sets `error` if the server could not start.
  bool Run(std::string& error) {
    if (!LoadRandomKey(keys_)) {
      error = "cannot make a key";
      return false;
    }
    server_ = peer_server::Listen({.loop = loop_,
                                   .timers = timers_,
                                   .keys = keys_,
                                   .address = "127.0.0.1:0",
                                   .identity = {"agent", "a1", "bench", 1},
                                   .handlers = Handlers()},
                                  error);
    if (server_ == nullptr) {
      return false;
    }
    memory_before_ = ResidentBytes();
    processor_mark_ = ProcessorTime();
    for (std::size_t number = 0; number < options_.connections; ++number) {
      Connect(number);
    }
    loop_.Run();
    return true;
  }

  [[nodiscard]] const nlohmann::json& result() const { return result_; }

 private:
  peer_handlers Handlers() {
    return {.on_up = [this](peer_connection& connection) { OnUp(connection); },
            .on_message = [this](peer_connection&, const message&) { OnHeartbeat(); },
            .on_down = {}};
  }

  void Connect(std::size_t number) {
    clients_.push_back(std::make_unique<peer_client>(
        peer_client::options{.loop = loop_,
                             .timers = timers_,
                             .keys = keys_,
                             .address = "127.0.0.1:" + std::to_string(server_->port()),
                             .identity = {"entry", "e" + std::to_string(number), "bench", 2},
                             .handlers = Handlers(),
                             .connect_timeout = seconds(30)}));
  }

  /// Called twice for each connection: for the side of the entry and for that of the agent.
  void OnUp(peer_connection& connection) {
    sides_.push_back(&connection);
    if (sides_.size() == 2 * options_.connections) {
      const auto count = static_cast<double>(options_.connections);
      result_ = {{"bench", "connection_cost"},
                 {"connections", options_.connections},
                 {"processor_us_per_handshake", PerItem(count)},
                 {"resident_bytes_per_connection",
                  static_cast<double>(ResidentBytes() - memory_before_) / count},
                 {"heartbeat_bytes", Encode(AgentHeartbeat(1)).size() + kFramingBytes}};
      processor_mark_ = ProcessorTime();
      round_timer_ = timers_.Every(options_.period, [this](instant) { SendRound(); });
    }
  }

  /// Spreads the heartbeats evenly over the period; independent processes do not send at once.
  void SendRound() {
    if (round_ == options_.rounds) {
      round_timer_.Cancel();
      return;
    }
    ++round_;
    for (std::size_t number = 0; number < sides_.size(); ++number) {
      const auto offset = options_.period * static_cast<std::int64_t>(number) /
                          static_cast<std::int64_t>(sides_.size());
      heartbeat_timers_.push_back(timers_.After(
          offset, [this, number](instant) { sides_[number]->Send(AgentHeartbeat(round_)); }));
    }
  }

  void OnHeartbeat() {
    ++heartbeats_;
    if (heartbeats_ == options_.rounds * sides_.size()) {
      result_["heartbeats"] = heartbeats_;
      result_["processor_us_per_heartbeat"] = PerItem(static_cast<double>(heartbeats_));
      loop_.Stop();
    }
  }

  [[nodiscard]] double PerItem(double count) const {
    return static_cast<double>((ProcessorTime() - processor_mark_).count()) / count;
  }

  connection_cost_options options_;
  event_loop loop_;
  timer_service timers_{loop_};
  key_ring keys_;
  std::unique_ptr<peer_server> server_;
  std::vector<std::unique_ptr<peer_client>> clients_;
  std::vector<peer_connection*> sides_;
  std::vector<timer_subscription> heartbeat_timers_;
  timer_subscription round_timer_;
  std::uint64_t round_ = 0;
  std::uint64_t heartbeats_ = 0;
  std::size_t memory_before_ = 0;
  microseconds processor_mark_ = {};
  nlohmann::json result_;
};

int Run(const connection_cost_options& options) {
  std::string error;
  connection_bench bench(options);
  if (!bench.Run(error)) {
    std::cerr << error << '\n';
    return 1;
  }
  std::cout << bench.result().dump() << '\n';
  return 0;
}

}  // namespace
}  // namespace jacinthspool

int main(int argc, char** argv) try {
  TCLAP::CmdLine line("Measures the cost of idle connections between entries and an agent.", ' ',
                      "1");
  TCLAP::ValueArg<std::size_t> connections("c", "connections", "connections to one agent", false,
                                           100, "COUNT", line);
  TCLAP::ValueArg<std::uint64_t> rounds("r", "rounds", "heartbeats of each side", false, 5, "COUNT",
                                        line);
  TCLAP::ValueArg<std::int64_t> period("p", "period-ms", "time between a side's heartbeats", false,
                                       500, "MS", line);
  line.parse(argc, argv);
  return jacinthspool::Run({.connections = connections.getValue(),
                            .rounds = rounds.getValue(),
                            .period = jacinthspool::milliseconds(period.getValue())});
} catch (const std::exception& failure) {
  std::cerr << failure.what() << '\n';
  return 1;
}
