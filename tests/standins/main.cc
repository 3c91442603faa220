// Stand-ins for the environment of the system: engines, plain services and the platform.
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/standins/common.h"
#include "tests/standins/configuration.h"
#include "tests/standins/engine.h"
#include "tests/standins/service.h"
#include "tests/standins/vms.h"

namespace jacinthspool::standins {
namespace {

constexpr std::size_t kMaxBodyBytes = 16U << 20U;
constexpr std::string_view kUsage =
    "usage: standins engine|service|configuration|vms --listen IP:PORT [OPTION...]";

/// \brief Serves one stand-in until SIGTERM or SIGINT. \returns The exit code.
template <typename make_standin>
int Serve(const std::string& address, const make_standin& make) {
  event_loop loop;
  timer_service timers(loop);
  http_client client(loop);
  auto standin = make(standin_context{loop, timers, client});
  std::string error;
  const std::unique_ptr<http_server> server = http_server::Listen(
      {.loop = loop,
       .address = address,
       .on_request = [&standin](const exchange_ptr& exchange) { standin->Handle(exchange); },
       .max_body_bytes = kMaxBodyBytes},
      error);
  if (server == nullptr) {
    std::fprintf(stderr, "standins: %s: %s\n", address.c_str(), error.c_str());
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

template <typename value>
using argument = TCLAP::ValueArg<value>;

int RunEngine(std::vector<std::string>& arguments) {
  const engine_options defaults;
  TCLAP::CmdLine line("Stand-in for a model engine", ' ', "1");
  argument<std::string> listen("", "listen", "address", true, "", "ip:port", line);
  argument<std::string> name("", "name", "engine id", false, "engine", "name", line);
  argument<std::string> kv_address("", "kv-address",
                                   "address from which other engines read KV caches", false, "",
                                   "ip:port", line);
  argument<unsigned> pieces("", "pieces", "memory", false, defaults.pieces, "pieces", line);
  argument<unsigned> piece_tokens("", "piece-tokens", "size of a piece", false,
                                  defaults.piece_tokens, "tokens", line);
  argument<unsigned> max_running("", "max-running", "largest batch", false, defaults.max_running,
                                 "sequences", line);
  argument<double> prefill_rate("", "prefill-tokens-per-s", "prefill speed", false,
                                defaults.prefill_tokens_per_s, "tokens/s", line);
  argument<double> step_ms("", "step-ms", "decode step of one sequence", false, 25, "ms", line);
  argument<double> step_growth("", "step-growth", "increase of the step for each further sequence",
                               false, defaults.step_growth, "share", line);
  argument<double> kv_bytes("", "kv-bytes-per-token", "size of KV cache", false,
                            defaults.kv_bytes_per_token, "bytes", line);
  argument<double> link_rate("", "link-bytes-per-s", "rate of the outgoing link", false,
                             defaults.link_bytes_per_s, "bytes/s", line);
  argument<unsigned> kv_life_ms("", "kv-life-ms", "lifetime of a KV cache", false, 800, "ms", line);
  argument<unsigned> cache("", "prefix-cache-tokens", "size of the prefix cache", false,
                           defaults.prefix_cache_tokens, "tokens", line);
  argument<unsigned> lag_ms("", "load-lag-ms", "interval between updates of the load report", false,
                            500, "ms", line);
  argument<double> scale("", "time-scale", "factor for all times", false, 1, "factor", line);
  TCLAP::SwitchArg fencing("", "check-fencing", "reject requests of earlier incarnations", line);
  TCLAP::SwitchArg abort_on_disconnect("", "abort-on-disconnect",
                                       "abort a request when its connection closes", line);
  line.parse(arguments);
  constexpr double kMicrosecondsPerMillisecond = 1e3;
  const auto step = static_cast<std::int64_t>(step_ms.getValue() * kMicrosecondsPerMillisecond);
  engine_options options{
      .name = name.getValue(),
      .kv_address = kv_address.getValue().empty() ? listen.getValue() : kv_address.getValue(),
      .pieces = pieces.getValue(),
      .piece_tokens = piece_tokens.getValue(),
      .max_running = max_running.getValue(),
      .prefill_tokens_per_s = prefill_rate.getValue(),
      .step = microseconds(step),
      .step_growth = step_growth.getValue(),
      .kv_bytes_per_token = kv_bytes.getValue(),
      .link_bytes_per_s = link_rate.getValue(),
      .kv_life = milliseconds(kv_life_ms.getValue()),
      .prefix_cache_tokens = cache.getValue(),
      .load_lag = milliseconds(lag_ms.getValue()),
      .check_fencing = fencing.getValue(),
      .abort_on_disconnect = abort_on_disconnect.getValue(),
      .time_scale = scale.getValue()};
  return Serve(listen.getValue(), [&options](standin_context context) {
    return std::make_unique<engine>(context, options);
  });
}

int RunService(std::vector<std::string>& arguments) {
  TCLAP::CmdLine line("Stand-in for a plain service", ' ', "1");
  argument<std::string> listen("", "listen", "address", true, "", "ip:port", line);
  argument<std::string> name("", "name", "service name", false, "service", "name", line);
  TCLAP::SwitchArg fencing("", "check-fencing", "reject requests of earlier incarnations", line);
  line.parse(arguments);
  return Serve(listen.getValue(), [&](standin_context context) {
    return std::make_unique<service>(
        context, service_options{.name = name.getValue(), .check_fencing = fencing.getValue()});
  });
}

template <typename standin>
int RunPlatform(const std::string& description, std::vector<std::string>& arguments) {
  TCLAP::CmdLine line(description, ' ', "1");
  argument<std::string> listen("", "listen", "address", true, "", "ip:port", line);
  line.parse(arguments);
  return Serve(listen.getValue(),
               [](standin_context context) { return std::make_unique<standin>(context); });
}

int Run(std::vector<std::string> arguments) {
  const std::string kind = arguments.size() > 1 ? arguments[1] : "";
  if (arguments.size() > 1) {
    arguments.erase(arguments.begin() + 1);
  }
  if (kind == "engine") {
    return RunEngine(arguments);
  }
  if (kind == "service") {
    return RunService(arguments);
  }
  if (kind == "configuration") {
    return RunPlatform<configuration>("Stand-in for the configuration service", arguments);
  }
  if (kind == "vms") {
    return RunPlatform<vms>("Stand-in for the VM list", arguments);
  }
  std::fprintf(stderr, "%s\n", std::string(kUsage).c_str());
  return 2;
}

}  // namespace
}  // namespace jacinthspool::standins

int main(int count, char** values) {
  try {
    return jacinthspool::standins::Run(std::vector<std::string>(values, values + count));
  } catch (const std::exception& error) {
    // From TCLAP and the JSON library.
    std::fputs(error.what(), stderr);
  } catch (...) {
    std::fputs("standins: unknown exception", stderr);
  }
  return 1;
}
