#include "tests/process/test_environment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace jacinthspool::testing {
namespace {

// Below the ephemeral ports that the system assigns to outgoing connections.
constexpr int kFirstPort = 10000;
constexpr int kPortCount = 22000;
constexpr int kPortsPerProcess = 97;
constexpr milliseconds kCheckPeriod(2);

int next_port = -1;

bool IsFree(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  close(descriptor);
  return bound == 0;
}

}  // namespace

test_environment::test_environment() {
  std::string pattern = (std::filesystem::temp_directory_path() / "process_test.XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
}

test_environment::~test_environment() {
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

bool test_environment::WaitUntil(const std::function<bool()>& condition, microseconds timeout) {
  const instant end = timer_service::now() + timeout;
  // The condition may itself run the loop, so it is not evaluated inside the loop.
  while (!condition()) {
    if (timer_service::now() >= end) {
      return false;
    }
    Elapse(kCheckPeriod);
  }
  return true;
}

void test_environment::Elapse(microseconds length) {
  const timer_subscription end = timers_.After(length, [this](instant /*now*/) { loop_.Stop(); });
  loop_.Run();
}

std::string test_environment::FreeAddress() {
  if (next_port < 0) {
    next_port = (getpid() * kPortsPerProcess) % kPortCount;
  }
  do {
    next_port = (next_port + 1) % kPortCount;
  } while (!IsFree(kFirstPort + next_port));
  return "127.0.0.1:" + std::to_string(kFirstPort + next_port);
}

std::string test_environment::WriteFile(const std::string& name, const std::string& text) const {
  std::ofstream(folder_ / name) << text;
  return PathOf(name);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

}  // namespace jacinthspool::testing
