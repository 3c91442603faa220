#include "tests/process/cluster.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

constexpr char kDataCentre[] = "sofia-1";
constexpr char kKeyFile[] = "keys";
constexpr char kKeys[] = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n";
constexpr char kPrefillPool[] = "contracts-prefill";
constexpr char kDecodePool[] = "contracts-decode";
constexpr char kServicePool[] = "calendar";
constexpr char kStandinHealth[] = "/health";
constexpr int kPieces = 20;

std::string TokenHash(const std::string& token) {
  std::array<unsigned char, crypto_generichash_BYTES> hash{};
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(token.data()),
                     token.size(), nullptr, 0);
  std::array<char, crypto_generichash_BYTES * 2 + 1> text{};
  sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
  return text.data();
}

nlohmann::json DefaultTiming() {
  return {{"heartbeat_ms", 200},        {"lease_ms", 2000},          {"grant_life_ms", 1000},
          {"connect_timeout_ms", 1000}, {"engine_timeout_ms", 3000}, {"transfer_timeout_ms", 1000},
          {"answer_retained_ms", 5000}, {"resync_ms", 500}};
}

}  // namespace

cluster::cluster(cluster_options options) : options_(std::move(options)) {
  configuration_address_ = environment_.FreeAddress();
  vms_address_ = environment_.FreeAddress();
  environment_.WriteFile(kKeyFile, kKeys);
  for (int number = 0; number < options_.prefills; ++number) {
    AddBackend("p" + std::to_string(number), kPrefillPool);
  }
  for (int number = 0; number < options_.decodes; ++number) {
    AddBackend("d" + std::to_string(number), kDecodePool);
  }
  for (int number = 0; number < options_.services; ++number) {
    AddBackend("s" + std::to_string(number), kServicePool);
  }
  for (int number = 0; number < options_.entries; ++number) {
    auto added = std::make_unique<entry_server>();
    added->name = "e" + std::to_string(number);
    added->address = environment_.FreeAddress();
    for (const auto& [name, backend] : backends_) {
      added->links[name] = std::make_unique<relay>(environment_, backend->peer_address);
    }
    entries_.push_back(std::move(added));
  }
}

void cluster::AddBackend(const std::string& name, const std::string& pool) {
  auto added = std::make_unique<backend_server>();
  added->name = name;
  added->pool = pool;
  added->engine_address = environment_.FreeAddress();
  added->peer_address = environment_.FreeAddress();
  added->status_address = environment_.FreeAddress();
  added->engine_link = std::make_unique<relay>(environment_, added->engine_address);
  added->kv_link = std::make_unique<relay>(environment_, added->engine_address);
  backends_[name] = std::move(added);
}

bool cluster::Start() {
  configuration_ =
      StartStandin("configuration", {"configuration", "--listen", configuration_address_});
  vms_ = StartStandin("vms", {"vms", "--listen", vms_address_});
  bool up = WaitHealthy(configuration_address_, *configuration_, kStandinHealth) &&
            WaitHealthy(vms_address_, *vms_, kStandinHealth);
  if (up && options_.from_service) {
    Publish("operators", Operators(nullptr));
    for (const char* team : {"turnevo", "lumanara", "visitor"}) {
      Publish("teams/" + std::string(team), Team(team));
    }
  }
  for (auto& [name, backend] : backends_) {
    StartEngine(*backend);
    StartAgent(*backend);
  }
  for (auto& entry : entries_) {
    StartEntry(*entry);
  }
  for (const auto& [name, backend] : backends_) {
    up = up && WaitReady(*backend);
  }
  for (auto& entry : entries_) {
    up = up && WaitServing(*entry);
  }
  if (!up) {
    PrintLogs();
  }
  return up;
}

void cluster::StartEngine(backend_server& backend) {
  LaunchEngine(backend);
  WaitHealthy(backend.engine_address, *backend.engine, kStandinHealth);
}

void cluster::StartAgent(backend_server& backend) {
  LaunchAgent(backend);
  WaitHealthy(backend.status_address, *backend.agent);
}

void cluster::LaunchEngine(backend_server& backend) {
  std::vector<std::string> arguments = {"engine", "--listen", backend.engine_address};
  if (backend.pool == kServicePool) {
    arguments.front() = "service";
  } else {
    arguments.insert(arguments.end(), {"--kv-address", backend.kv_link->address(), "--pieces",
                                       std::to_string(kPieces), "--piece-tokens",
                                       std::to_string(options_.piece_tokens)});
    arguments.insert(arguments.end(), options_.engine_options.begin(),
                     options_.engine_options.end());
  }
  arguments.insert(arguments.end(), {"--name", backend.name});
  if (options_.check_fencing) {
    arguments.emplace_back("--check-fencing");
  }
  backend.engine = StartStandin("engine-" + backend.name, std::move(arguments));
}

void cluster::LaunchAgent(backend_server& backend) {
  nlohmann::json file = ProcessFile(backend.name, nullptr);
  file["listen"] = backend.status_address;
  file["peer_listen"] = backend.peer_address;
  file["backend"] = {{"name", backend.name},
                     {"address", backend.engine_link->address()},
                     {"check", options_.check_fencing ? "fencing" : "freshness"}};
  const std::string path = environment_.WriteFile(backend.name + ".json", file.dump(2));
  backend.agent = std::make_unique<child_process>(
      JACINTHSPOOL_BINARY, std::vector<std::string>{"agent", "--config", path},
      environment_.PathOf(backend.name + ".log"));
  last_start_ = timer_service::now();
}

void cluster::StartEntry(entry_server& entry) {
  nlohmann::json file = ProcessFile(entry.name, &entry);
  file["listen"] = entry.address;
  const std::string path = environment_.WriteFile(entry.name + ".json", file.dump(2));
  entry.process = std::make_unique<child_process>(
      JACINTHSPOOL_BINARY, std::vector<std::string>{"entry", "--config", path},
      environment_.PathOf(entry.name + ".log"));
  WaitHealthy(entry.address, *entry.process);
}

std::unique_ptr<child_process> cluster::StartStandin(const std::string& name,
                                                     std::vector<std::string> arguments) {
  return std::make_unique<child_process>(STANDINS_BINARY, std::move(arguments),
                                         environment_.PathOf(name + ".log"));
}

nlohmann::json cluster::ProcessFile(const std::string& name, const entry_server* entry) const {
  nlohmann::json file = {{"name", name},
                         {"data_centre", kDataCentre},
                         {"key_file", environment_.PathOf(kKeyFile)},
                         {"vm_list", vms_address_}};
  nlohmann::json peers = nlohmann::json::array();
  for (const auto& [backend_name, backend] : backends_) {
    peers.push_back(backend->peer_address);
  }
  file["peers"] = peers;
  if (options_.from_service) {
    file["source"] = {{"kind", "consul"}, {"addresses", {configuration_address_}}};
    return file;
  }
  file["source"] = {{"kind", "file"}};
  file["operators"] = Operators(entry);
  for (const char* team : {"turnevo", "lumanara", "visitor"}) {
    file["teams"].push_back({{"name", team}, {"settings", Team(team)}});
  }
  return file;
}

nlohmann::json cluster::Operators(const entry_server* entry) const {
  std::map<std::string, nlohmann::json> members;
  for (const auto& [name, backend] : backends_) {
    const std::string address =
        entry == nullptr ? backend->peer_address : entry->links.at(name)->address();
    members[backend->pool].push_back(
        {{"name", name}, {"address", address}, {"data_centre", kDataCentre}});
  }
  nlohmann::json pools = nlohmann::json::array();
  const std::map<std::string, std::string> kinds = {
      {kPrefillPool, "prefill"}, {kDecodePool, "decode"}, {kServicePool, "service"}};
  nlohmann::json names = nlohmann::json::array();
  for (const auto& [pool, backends] : members) {
    nlohmann::json settings = {{"name", pool}, {"kind", kinds.at(pool)}, {"backends", backends}};
    if (pool != kServicePool) {
      settings["model"] = kModel;
      settings["pieces"] = kPieces;
      settings["piece_tokens"] = options_.piece_tokens;
      settings.merge_patch(options_.pools);
    }
    pools.push_back(settings);
    names.push_back(pool);
  }
  nlohmann::json timing = DefaultTiming();
  timing.merge_patch(options_.timing);
  nlohmann::json limits = {{"max_body_bytes", 1U << 20U}, {"first_token_ms", 5000}};
  limits.merge_patch(options_.limits);
  nlohmann::json document = {
      {"revision", 1},
      {"pools", pools},
      {"access",
       {{{"team", "turnevo"}, {"pools", names}, {"share_percent", options_.turnevo_percent}},
        {{"team", "lumanara"},
         {"pools", names},
         {"share_percent", 100 - options_.turnevo_percent}}}},
      {"timing", timing},
      {"limits", limits}};
  document.merge_patch(options_.operators);
  return document;
}

nlohmann::json cluster::Team(const std::string& name) const {
  return {{"revision", 1},
          {"token_hashes", {TokenHash(name + "-token")}},
          {"objective", name == "turnevo" ? "wasted_prefill" : "goodput"},
          {"models",
           {{{"model", kModel}, {"prefill_pool", kPrefillPool}, {"decode_pool", kDecodePool}}}},
          {"routes",
           {{{"name", "lookup"},
             {"path_prefix", "/lookup"},
             {"pool", kServicePool},
             {"repeatable", true},
             {"deadline_ms", 5000}},
            {{"name", "booking"},
             {"path_prefix", "/booking"},
             {"pool", kServicePool},
             {"repeatable", false},
             {"deadline_ms", 5000}}}}};
}

std::uint64_t cluster::Publish(const std::string& path, const nlohmann::json& document) {
  const nlohmann::json answer = FetchJson(environment_, configuration_address_,
                                          "/standin/put?key=jacinthspool/" + path, document);
  return answer.value("index", std::uint64_t{0});
}

bool cluster::WaitHealthy(const std::string& address, child_process& process, const char* target) {
  const instant end = timer_service::now() + test_environment::kDefaultTimeout;
  while (!process.ExitCode() && timer_service::now() < end) {
    if (Fetch(environment_, {.address = address, .target = target})->status() == 200) {
      return true;
    }
    environment_.Elapse(milliseconds(10));
  }
  return false;
}

bool cluster::WaitReady(const backend_server& backend) {
  return environment_.WaitUntil([&] {
    const json status = FetchJson(environment_, backend.status_address, "/status");
    return (status.is_object() && !status.value("pool", "").empty() &&
            status.value("backend_up", false) &&
            status.value("entries", std::size_t{0}) == entries_.size()) ||
           backend.agent->ExitCode().has_value();
  });
}

bool cluster::WaitServing(entry_server& entry) {
  const auto number =
      static_cast<int>(std::find_if(entries_.begin(), entries_.end(),
                                    [&](const auto& each) { return each.get() == &entry; }) -
                       entries_.begin());
  const instant end = timer_service::now() + test_environment::kDefaultTimeout;
  bool completes = options_.decodes == 0;
  bool calls = options_.services == 0;
  while (!(completes && calls) && !entry.process->ExitCode() && timer_service::now() < end) {
    if (!completes) {
      const call_ptr made =
          Complete({{"model", kModel}, {"prompt", "ready"}, {"max_tokens", 1}}, number);
      completes = made->Wait() && made->status() == 200;
    }
    if (!calls) {
      const call_ptr made = CallService("/lookup/ready", "", {}, number);
      calls = made->Wait() && made->status() == 200;
    }
    environment_.Elapse(milliseconds(10));
  }
  return completes && calls;
}

call_ptr cluster::Complete(const nlohmann::json& request, int entry, const std::string& target,
                           const std::string& token) {
  return std::make_unique<call>(environment_,
                                http_request{.address = this->entry(entry).address,
                                             .method = "POST",
                                             .target = target,
                                             .headers = {{"Content-Type", "application/json"},
                                                         {"Authorization", "Bearer " + token}},
                                             .body = request.dump()});
}

call_ptr cluster::CallService(const std::string& target, const std::string& body,
                              const http_headers& headers, int entry, const std::string& token) {
  http_request request{.address = this->entry(entry).address,
                       .method = body.empty() ? "GET" : "POST",
                       .target = target,
                       .headers = headers,
                       .body = body};
  request.headers.emplace_back("Authorization", "Bearer " + token);
  return std::make_unique<call>(environment_, std::move(request));
}

std::string cluster::NewKey() {
  // Agents accept keys that are newer than their start plus the allowed clock skew of 5 s.
  constexpr milliseconds kClockLead(4500);
  constexpr milliseconds kAgentAge(800);
  environment_.WaitUntil([&] { return timer_service::now() - last_start_ >= kAgentAge; });
  const auto wall = std::chrono::system_clock::now().time_since_epoch() + kClockLead;
  const auto stamp = std::chrono::duration_cast<milliseconds>(wall).count();
  constexpr std::size_t kKeyCapacity = 64;
  std::array<char, kKeyCapacity> text{};
  std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x",
                static_cast<unsigned long long>(stamp) >> 16U,
                static_cast<unsigned long long>(stamp) & 0xffffU, ++keys_);
  return text.data();
}

void cluster::Faults(const std::string& address, const nlohmann::json& faults) {
  FetchJson(environment_, address, "/standin/faults", faults);
}

nlohmann::json cluster::HeldBy(const backend_server& backend) {
  return FetchJson(environment_, backend.engine_address, "/requests")
      .value("requests", nlohmann::json::array());
}

bool cluster::WaitNothingHeld() {
  const instant end = timer_service::now() + test_environment::kDefaultTimeout;
  while (timer_service::now() < end) {
    std::size_t held = 0;
    for (const auto& [name, backend] : backends_) {
      held += backend->pool == kServicePool ? 0 : HeldBy(*backend).size();
    }
    if (held == 0) {
      return true;
    }
    environment_.Elapse(milliseconds(20));
  }
  return false;
}

nlohmann::json cluster::Executions(int service) {
  return FetchJson(environment_, this->service(service).engine_address, "/executions");
}

std::string cluster::LogOf(const std::string& name) const {
  return ReadFile(environment_.PathOf(name + ".log"));
}

void cluster::PrintLogs() const {
  for (const auto& [name, backend] : backends_) {
    std::printf("---- %s\n%s", name.c_str(), LogOf(name).c_str());
  }
  for (const auto& entry : entries_) {
    std::printf("---- %s\n%s", entry->name.c_str(), LogOf(entry->name).c_str());
  }
}

}  // namespace jacinthspool::testing
