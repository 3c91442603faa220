// Backend servers and services of the platform that send without end.
#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/process/cluster.h"
#include "tests/transport/endless_server.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

/// Address sanitizer keeps freed memory for a while and adds its own.
#if defined(__has_feature)
#if __has_feature(address_sanitizer)
#define JACINTHSPOOL_ADDRESS_SANITIZER
#endif
#endif
#ifdef JACINTHSPOOL_ADDRESS_SANITIZER
constexpr std::size_t kMemoryFactor = 5;
#else
constexpr std::size_t kMemoryFactor = 1;
#endif
/// Least memory of the platform's machines that take an agent or an entry.
constexpr std::size_t kMaxResidentKb = kMemoryFactor * (110U << 10U);
constexpr seconds kPlayTime(3);

/// \returns The most resident memory that the process has had, in KB.
std::size_t PeakResidentKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      std::size_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

/// The subcases of a test: in what the server does not end.
endless_server ServerOfKind() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string bytes(65536, 'x');
  std::string beginning = head + "\r\n";
  std::string piece = bytes;
  SUBCASE("in a chunked body") {
    beginning = head + "Transfer-Encoding: chunked\r\n\r\n";
    piece = "10000\r\n" + bytes + "\r\n";
  }
  SUBCASE("in a body with a length") { beginning = head + "Content-Length: 1000000000000\r\n\r\n"; }
  SUBCASE("in a body that only the end of the connection delimits") {}
  SUBCASE("in interim responses") {
    beginning.clear();
    piece.clear();
    for (int i = 0; i < 1000; ++i) {
      piece += "HTTP/1.1 100 Continue\r\n\r\n";
    }
  }
  return {beginning, piece};
}

// Guards against a process that ends for lack of memory while it reads an answer without end.
TEST_CASE("a server that sends without end does not end the process that calls it") {
  std::unique_ptr<cluster> system;
  endless_server server("", " ");
  std::string command = "agent";
  json settings;
  // The settings of a process of the cluster, which does not run beside the test's.
  const auto settings_of = [&](bool from_service) {
    system = std::make_unique<cluster>(
        cluster_options{.decodes = 0, .services = 0, .from_service = from_service});
    system->LaunchAgent(system->prefill());
    system->prefill().agent->Kill();
    system->StartEntry(system->entry());
    system->entry().process->Kill();
    const std::string name = command == "agent" ? system->prefill().name : system->entry().name;
    return json::parse(ReadFile(system->environment().PathOf(name + ".json")));
  };
  SUBCASE("an agent's engine") {
    server = ServerOfKind();
    settings = settings_of(false);
    settings["backend"]["address"] = server.address();
  }
  SUBCASE("an agent's list of VMs") {
    server = ServerOfKind();
    settings = settings_of(false);
    settings["vm_list"] = server.address();
  }
  SUBCASE("an entry's configuration service") {
    server = ServerOfKind();
    command = "entry";
    settings = settings_of(true);
    settings["source"]["addresses"] = {server.address()};
  }
  const std::string file = system->environment().WriteFile("endless.json", settings.dump());
  child_process process(JACINTHSPOOL_BINARY, {command, "--config", file},
                        system->environment().PathOf("endless.log"));
  std::size_t peak = 0;
  const instant begun = boot_clock::now();
  system->environment().WaitUntil([&] {
    server.Step();
    peak = std::max(peak, PeakResidentKb(process.pid()));
    return peak > kMaxResidentKb || boot_clock::now() - begun > kPlayTime;
  });
  CHECK(peak < kMaxResidentKb);
  CHECK_FALSE(process.ExitCode().has_value());
  CHECK(server.taken > 0);
  MESSAGE("sent " << server.taken << " bytes, peak " << peak << " KB");
}

}  // namespace
}  // namespace jacinthspool::testing
