#ifndef JACINTHSPOOL_TESTS_ROUTING_CRASH_FLEET_H_
#define JACINTHSPOOL_TESTS_ROUTING_CRASH_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "jacinthspool/routing/crash_quarantine.h"

namespace jacinthspool::testing {

/// \brief What crashes servers: a part, by its place among the shared parts of a prompt, or one
/// whole request.
enum class part_place { kFirst, kMiddle, kLast, kWholeRequest };

/// \brief A fleet of gateways and backend servers in virtual time.
struct crash_scenario {
  std::size_t gateways = 4;
  std::size_t servers = 20;
  std::vector<part_place> bad = {};  ///< One for each part that crashes servers.
  bool quarantine = true;            ///< false: gateways send whatever they get.
  double sound_per_second = 60;
  double bad_per_second = 5;  ///< Of each part.
  std::uint64_t seed = 31;
  double loss = 0.02;               ///< Of messages between gateways, never repeated.
  double new_document_share = 0.2;  ///< Of sound requests with a part that nobody has seen.
  /// Sound requests of the first caller with a part that all requests with a bad one have, too.
  double companion_share = 0;
  seconds bad_from = seconds(8);
  seconds end = seconds(60);
};

/// \brief What the fleet did with one part that crashes servers.
struct bad_part_figures {
  std::vector<instant> crashes = {};
  std::size_t sends = 0;
  /// By gateways in touch, from the fifth crash + `kTouch`, of a whole request from the third.
  std::size_t late_sends = 0;
  std::size_t late_sends_any = 0;  ///< By any gateway.
};

class crash_fleet {
 public:
  static constexpr microseconds kTouch = seconds(3);

  explicit crash_fleet(const crash_scenario& scenario);

  /// \brief Calls that at a time from the start.
  void At(microseconds time, std::function<void()> action);
  void Run();

  // Disruptions.
  void Kill(std::size_t gateway, microseconds down);
  void CutOff(std::size_t gateway, microseconds time);
  /// \brief Closes all connections of one gateway; the servers go on.
  void ResetConnections(std::size_t gateway);
  /// \brief Ends that share of the servers at once.
  void EndServers(double share);
  void EndServer(std::size_t server);
  /// \brief The next sound requests, at any gateway, are on one document that nobody has seen.
  void SetFashion(bool on);

  [[nodiscard]] const std::vector<bad_part_figures>& bad() const { return bad_; }
  [[nodiscard]] std::size_t crashes() const;
  [[nodiscard]] std::size_t late_sends() const;
  /// \returns The share of sound requests of the first caller, from twice `kTouch` after the fifth
  /// crash of each part (the last, if there are fewer), that were answered at the first attempt.
  [[nodiscard]] double SoundShare() const { return ShareOf(first_caller_); }
  /// \returns Sound requests that were held or not yet known, and all of them.
  [[nodiscard]] std::size_t sound_held() const { return sound_held_; }
  [[nodiscard]] std::size_t sound_unknown() const { return sound_unknown_; }
  [[nodiscard]] std::size_t sound() const { return sound_; }
  /// \returns The same for the requests with the companion part.
  [[nodiscard]] double CompanionShare() const { return ShareOf(companion_); }
  [[nodiscard]] std::size_t messages() const { return messages_; }
  [[nodiscard]] crash_quarantine& quarantine(std::size_t gateway);
  [[nodiscard]] instant now() const { return now_; }
  [[nodiscard]] static prompt_part BadPart(std::size_t index) { return 0xBAD0000 + index; }
  [[nodiscard]] static request_digest BadRequest(std::size_t index) {
    return {.high = 0xBAD, .low = index};
  }

 private:
  struct request {
    std::vector<crash_suspect> parts;
    int bad = -1;
    bool first_caller = false;
    bool companion = false;
    bool prefilled = false;
    std::size_t attempts = 0;
    instant arrived{};
  };
  struct attempt {
    std::uint64_t number = 0;
    backend_incarnation name;
    std::size_t gateway = 0;
    std::size_t server = 0;
    std::uint64_t life = 0;  ///< Of the gateway's process.
    std::shared_ptr<request> work;
    bool prefill = false;
    bool begun = false;
    bool over = false;
  };
  struct by_number {
    bool operator()(const std::shared_ptr<attempt>& left,
                    const std::shared_ptr<attempt>& right) const {
      return left->number < right->number;
    }
  };
  struct server {
    backend_incarnation name;
    bool up = true;
    bool listed = true;
    std::set<std::shared_ptr<attempt>, by_number> running = {};
  };
  struct member {
    std::string name;
    std::unique_ptr<crash_quarantine> quarantine;
    std::uint64_t life = 0;
    bool up = true;
    instant cut_until{};
    instant last_disruption{};
    std::set<backend_incarnation> refused = {};
    instant next_query{};
  };
  struct event {
    instant at{};
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator>(const event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void After(microseconds wait, std::function<void()> action);
  microseconds Between(microseconds least, microseconds most);
  microseconds Exponential(double per_second);
  bool Chance(double share);
  void StartGateway(std::size_t index);
  void ArriveSound();
  void ArriveBad(std::size_t index);
  void Send(std::size_t gateway, const std::shared_ptr<request>& work);
  void Begin(const std::shared_ptr<attempt>& sent);
  void Progress(const std::shared_ptr<attempt>& sent, instant end);
  void End(const std::shared_ptr<attempt>& sent);
  void OnCut(const std::shared_ptr<attempt>& cut);
  /// \brief The caller sends a failed request once more, at any gateway.
  void Retry(const request& failed);
  void Tick(std::size_t gateway, std::uint64_t life);
  void Query(std::size_t from, std::size_t to);
  void Count(const request& work, bool answered);
  /// \returns The number of crashes from which the bound on sends counts.
  [[nodiscard]] std::size_t CrashesBeforeBound(std::size_t index) const;
  /// \returns The digest of a request that nobody has sent before.
  request_digest NewDigest() { return {.high = 0xD1, .low = ++last_digest_}; }
  [[nodiscard]] double ShareOf(const std::map<instant, bool>& answers) const;
  [[nodiscard]] bool Reaches(std::size_t from, std::size_t to);
  [[nodiscard]] bool InTouch(const member& each) const;

  crash_scenario scenario_;
  std::mt19937_64 random_;
  instant start_{seconds(1000)};
  instant now_{start_};
  std::uint64_t next_number_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<member> members_;
  std::vector<server> servers_;
  std::uint64_t next_server_ = 0;
  std::vector<bad_part_figures> bad_;
  /// Arrival of sound requests, a microsecond apart at least, and whether they were answered.
  std::map<instant, bool> first_caller_;
  std::map<instant, bool> companion_;
  std::size_t sound_ = 0;
  std::size_t sound_held_ = 0;
  std::size_t sound_unknown_ = 0;
  std::size_t messages_ = 0;
  prompt_part next_document_ = 0xD0000000;
  prompt_part fashion_ = 0;
  std::uint64_t last_digest_ = 0;
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_ROUTING_CRASH_FLEET_H_
