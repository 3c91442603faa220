// Measures the cost of a message between an entry and an agent that run in one
// process and share one loopback connection. The entry keeps a fixed number of
// messages in flight and the agent echoes each. Prints one JSON line.
#include <tclap/CmdLine.h>

#include <cstdint>
#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "bench/process_cost.h"
#include "src/transport/peer.h"

namespace jacinthspool {
namespace {

struct peer_cost_options {
  std::uint64_t messages;
  std::uint64_t in_flight;
  std::uint64_t streams;
  std::size_t text_bytes;
};

/// \brief The side of the entry: sends messages, counts echoes, stops the loop after the last.
class message_source {
 public:
  message_source(event_loop& loop, const peer_cost_options& options)
      : loop_(loop), options_(options) {}

  void Start(peer_connection& connection) {
    started_ = timer_service::now();
    processor_started_ = ProcessorTime();
    for (std::uint64_t number = 0; number < options_.in_flight; ++number) {
      SendNext(connection);
    }
  }

  void OnReturn(peer_connection& connection) {
    ++returned_;
    if (returned_ == options_.messages) {
      elapsed_ = timer_service::now() - started_;
      processor_time_ = ProcessorTime() - processor_started_;
      loop_.Stop();
    } else if (sent_ < options_.messages) {
      SendNext(connection);
    }
  }

  [[nodiscard]] nlohmann::json Result() const {
    // Each message travels to the agent and back.
    const auto count = static_cast<double>(2 * returned_);
    const double wall = std::chrono::duration<double>(elapsed_).count();
    return {{"bench", "peer_cost"},
            {"messages", 2 * returned_},
            {"in_flight", options_.in_flight},
            {"streams", options_.streams},
            {"text_bytes", options_.text_bytes},
            {"messages_per_s", count / wall},
            {"processor_us_per_message", static_cast<double>(processor_time_.count()) / count}};
  }

 private:
  void SendNext(peer_connection& connection) {
    piece value;
    value.request = {.incarnation = 1, .counter = sent_ % options_.streams};
    value.attempt = 1;
    value.offset = sent_ / options_.streams;
    value.text.assign(options_.text_bytes, 'x');
    ++sent_;
    connection.Send(value);
  }

  event_loop& loop_;
  peer_cost_options options_;
  std::uint64_t sent_ = 0;
  std::uint64_t returned_ = 0;
  instant started_;
  microseconds elapsed_ = {};
  microseconds processor_started_ = {};
  microseconds processor_time_ = {};
};

int Run(const peer_cost_options& options) {
  event_loop loop;
  timer_service timers(loop);
  key_ring keys;
  std::string error = "cannot make a key";
  if (!LoadRandomKey(keys)) {
    std::cerr << error << '\n';
    return 1;
  }
  const auto server = peer_server::Listen(
      {.loop = loop,
       .timers = timers,
       .keys = keys,
       .address = "127.0.0.1:0",
       .identity = {"agent", "a1", "bench", 1},
       .handlers = {.on_up = {},
                    .on_message = [](peer_connection& from,
                                     const message& value) { from.Send(value); },
                    .on_down = {}}},
      error);
  if (server == nullptr) {
    std::cerr << error << '\n';
    return 1;
  }
  message_source source(loop, options);
  const peer_client client(
      {.loop = loop,
       .timers = timers,
       .keys = keys,
       .address = "127.0.0.1:" + std::to_string(server->port()),
       .identity = {"entry", "e1", "bench", 2},
       .handlers = {
           .on_up = [&](peer_connection& connection) { source.Start(connection); },
           .on_message = [&](peer_connection& from, const message&) { source.OnReturn(from); },
           .on_down = {}}});
  loop.Run();
  std::cout << source.Result().dump() << '\n';
  return 0;
}

}  // namespace
}  // namespace jacinthspool

int main(int argc, char** argv) try {
  TCLAP::CmdLine line("Measures the cost of a message between an entry and an agent.", ' ', "1");
  TCLAP::ValueArg<std::uint64_t> messages("n", "messages", "messages to send and return", false,
                                          200'000, "COUNT", line);
  TCLAP::ValueArg<std::uint64_t> in_flight("f", "in-flight", "messages on their way at a time",
                                           false, 256, "COUNT", line);
  TCLAP::ValueArg<std::uint64_t> streams("s", "streams", "requests among which they are spread",
                                         false, 100, "COUNT", line);
  TCLAP::ValueArg<std::size_t> text_bytes("t", "text-bytes", "bytes of text in each message", false,
                                          8, "BYTES", line);
  line.parse(argc, argv);
  return jacinthspool::Run({.messages = messages.getValue(),
                            .in_flight = in_flight.getValue(),
                            .streams = streams.getValue(),
                            .text_bytes = text_bytes.getValue()});
} catch (const std::exception& failure) {
  std::cerr << failure.what() << '\n';
  return 1;
}
