#ifndef JACINTHSPOOL_TESTS_PROCESS_CLUSTER_H_
#define JACINTHSPOOL_TESTS_PROCESS_CLUSTER_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/process/call.h"
#include "tests/process/child_process.h"
#include "tests/process/relay.h"
#include "tests/process/test_environment.h"

namespace jacinthspool::testing {

inline constexpr char kTurnevoToken[] = "turnevo-token";
inline constexpr char kLumanaraToken[] = "lumanara-token";
inline constexpr char kVisitorToken[] = "visitor-token";  ///< A team without any pool.
inline constexpr char kModel[] = "digest";

struct cluster_options {
  int prefills = 1;
  int decodes = 1;
  int services = 1;
  int entries = 1;
  bool from_service = false;  ///< Read settings from the configuration stand-in, not from files.
  /// Additional command line options of the stand-in engines.
  std::vector<std::string> engine_options = {};
  bool check_fencing = false;
  nlohmann::json timing = nlohmann::json::object();  ///< Merged into the default timing settings.
  nlohmann::json limits = nlohmann::json::object();
  nlohmann::json pools =
      nlohmann::json::object();  ///< Merged into the settings of the engines' pools.
  nlohmann::json operators =
      nlohmann::json::object();  ///< Merged into the complete operators' document.
  int piece_tokens = 256;        ///< Size of a piece of engine memory.
  int turnevo_percent = 90;      ///< Turnevo's share of each pool; Lumanara has the rest.
};

/// \brief One agent with its backend server and the links to it.
struct backend_server {
  std::string name;
  std::string pool;
  std::string engine_address;          ///< Not through the link: for requests of the test itself.
  std::unique_ptr<relay> engine_link;  ///< From the agent to its engine or service.
  std::unique_ptr<relay> kv_link;      ///< From other engines to this engine's KV caches.
  std::string peer_address;
  std::string status_address;
  std::unique_ptr<child_process> engine;
  std::unique_ptr<child_process> agent;
};

struct entry_server {
  std::string name;
  std::string address;
  std::map<std::string, std::unique_ptr<relay>> links;  ///< To agents, by backend server name.
  std::unique_ptr<child_process> process;
};

/// \brief A complete system with stand-ins for engines, services and platform, each in its own
/// process.
class cluster {
 public:
  explicit cluster(cluster_options options);

  /// \brief Starts all processes and waits until completions and service calls are served.
  /// \returns false if they are not; prints the logs to standard output then.
  bool Start();

  // Backend servers and entries, numbered from 0:
  backend_server& prefill(int number = 0) { return *backends_.at("p" + std::to_string(number)); }
  backend_server& decode(int number = 0) { return *backends_.at("d" + std::to_string(number)); }
  backend_server& service(int number = 0) { return *backends_.at("s" + std::to_string(number)); }
  entry_server& entry(int number = 0) { return *entries_.at(number); }

  void StartEngine(backend_server& backend);
  void StartAgent(backend_server& backend);
  /// \brief As the two above, without waiting until the process is healthy.
  void LaunchEngine(backend_server& backend);
  void LaunchAgent(backend_server& backend);
  void StartEntry(entry_server& entry);
  /// \brief Waits until the health check of the process returns 200.
  /// \returns false when the process has ended, or on time-out.
  bool WaitHealthy(const std::string& address, child_process& process,
                   const char* target = "/healthz");
  /// \brief Waits until the agent has its settings and is connected to its backend server and all
  /// entries.
  bool WaitReady(const backend_server& backend);
  /// \brief Waits until the entry serves completions and service calls.
  bool WaitServing(entry_server& entry);

  /// \returns A running completion, or a chat if `target` is the path of chats.
  call_ptr Complete(const nlohmann::json& request, int entry = 0,
                    const std::string& target = "/v1/completions",
                    const std::string& token = kTurnevoToken);
  /// \returns A running call of the plain service: POST, or GET if the body is empty.
  call_ptr CallService(const std::string& target, const std::string& body,
                       const http_headers& headers = {}, int entry = 0,
                       const std::string& token = kTurnevoToken);

  /// \returns An idempotency key (UUID version 7) whose timestamp is ahead by nearly the clock
  /// skew that agents allow, so that agents that have just started accept it.
  std::string NewKey();

  /// \brief Sets faults of a stand-in; faults that are not named keep their values.
  void Faults(const std::string& address, const nlohmann::json& faults);
  /// \returns The requests for which the engine holds memory.
  nlohmann::json HeldBy(const backend_server& backend);
  /// \brief Waits until no engine holds memory for any request. \returns false on time-out.
  bool WaitNothingHeld();
  nlohmann::json Executions(int service = 0);

  /// \returns The operators' document with the addresses of the entry's links, or of the agents
  /// themselves if `entry` is null.
  nlohmann::json Operators(const entry_server* entry) const;
  nlohmann::json Team(const std::string& name) const;
  /// \brief Writes one document to the configuration stand-in. \returns The index of the write.
  std::uint64_t Publish(const std::string& path, const nlohmann::json& document);

  /// \returns The log of the process of this name.
  [[nodiscard]] std::string LogOf(const std::string& name) const;
  void PrintLogs() const;

  test_environment& environment() { return environment_; }
  [[nodiscard]] const std::string& configuration_address() const { return configuration_address_; }
  [[nodiscard]] const std::string& vms_address() const { return vms_address_; }
  child_process& configuration_service() { return *configuration_; }

 private:
  void AddBackend(const std::string& name, const std::string& pool);
  [[nodiscard]] nlohmann::json ProcessFile(const std::string& name,
                                           const entry_server* entry) const;
  std::unique_ptr<child_process> StartStandin(const std::string& name,
                                              std::vector<std::string> arguments);

  cluster_options options_;
  test_environment environment_;
  instant last_start_{};
  std::uint32_t keys_ = 0;
  std::string configuration_address_;
  std::string vms_address_;
  std::unique_ptr<child_process> configuration_;
  std::unique_ptr<child_process> vms_;
  std::map<std::string, std::unique_ptr<backend_server>> backends_;
  std::vector<std::unique_ptr<entry_server>> entries_;
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_PROCESS_CLUSTER_H_
