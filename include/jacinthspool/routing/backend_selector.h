#ifndef JACINTHSPOOL_ROUTING_BACKEND_SELECTOR_H_
#define JACINTHSPOOL_ROUTING_BACKEND_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/backend_list.h"

namespace jacinthspool {

/// \brief What a finished attempt says about its backend server.
enum class attempt_result {
  kGood,         ///< A whole answer, or a beginning of one that its caller left.
  kBusy,         ///< It refused without running: full.
  kUnreachable,  ///< No connection.
  kFailed,       ///< An error, a broken or no answer.
  kUnknown,      ///< Ended by the caller before anything was learnt.
};

/// \brief What is to be placed.
struct placement {
  std::string_view service;
  engine_stage stage = engine_stage::kNone;
  double cost = 1;          ///< Load that it adds: tokens of a model request, else 1.
  bool repeatable = false;  ///< May be used to try out a backend server that has failed.
  const std::set<std::string>* tried = nullptr;  ///< Not to be chosen.
  bool only_free = false;                        ///< None rather than one that is busy.
};

/// \brief Chooses the backend server for an attempt, from what this entry has seen of each.
///
/// The load it answers: servers of unequal speed, of which some fail part of
/// their requests or fall silent while their health checks pass. Each server is
/// judged by the answers that it gave here. One that fails is left out for a
/// while that doubles, and then tried with a repeatable request first. At most
/// half of a service's servers are left out at once.
class backend_selector {
 public:
  struct options {
    std::string data_centre;                   ///< Preferred among servers of equal load.
    microseconds first_ejection = seconds(1);  ///< How long a failing server is left out.
    microseconds last_ejection = seconds(8);
    microseconds failure_half_life = seconds(3);  ///< In which the failed share fades by half.
    /// A server that refuses is passed over for so long, doubled while it goes on refusing.
    microseconds busy_pause = milliseconds(150);
    microseconds last_busy_pause = milliseconds(1200);
    /// How long a record that was found wrong is passed over while no newer one is published.
    microseconds mistaken_pause = seconds(5);
  };

  explicit backend_selector(const options& settings) : settings_(settings) {}

  /// \brief Takes the servers that may get new work now; what is known of each stays.
  void Update(const std::map<std::string, backend_record>& backends);
  /// \brief Takes one server's newest record.
  void Update(const backend_record& record);

  /// \param random Any random number; it decides between equals.
  /// \returns The server, or null when the service has none that may be used.
  [[nodiscard]] const backend_record* Choose(const placement& wanted, instant now,
                                             std::uint64_t random) const;

  /// \returns true when some server takes new work of that service and stage.
  [[nodiscard]] bool Has(std::string_view service, engine_stage stage) const;

  void OnStarted(const std::string& id, double cost);
  /// \param taken Time to the first byte of a good answer.
  void OnEnded(const std::string& id, double cost, attempt_result result, microseconds taken,
               instant now);

  /// \brief An attempt at it has had no answer for longer than it should take.
  void OnSilent(const std::string& id, instant now);

  /// \brief The server has asked for no request at all until then.
  ///
  /// Unlike a busy one it is not even chosen when it is the only one.
  void SetQuiet(const std::string& id, instant until);
  [[nodiscard]] bool quiet(const std::string& id, instant now) const;

  /// \returns When the first server of the service and stage wants requests again, if all of
  /// those that may be used want none now.
  [[nodiscard]] std::optional<instant> QuietUntil(std::string_view service, engine_stage stage,
                                                  instant now) const;

  /// \brief The server that the published record names was not met there, or not in that stage.
  ///
  /// It is not chosen until a newer record is published, and for `mistaken_pause` at most, since
  /// the record may be right after all.
  void SetMistaken(const std::string& id, instant now);

  /// \brief The server has no room until then.
  void SetBusy(const std::string& id, instant until);
  void ClearBusy(const std::string& id);

  /// \returns What is left out now, for metrics.
  [[nodiscard]] std::size_t ejected(instant now) const;

 private:
  struct member {
    backend_record record;
    std::uint32_t running = 0;
    double load = 0;
    double failure_share = 0;  ///< Moving average of failed attempts, as of `judged`.
    instant judged{};
    double latency_ms = 0;  ///< Moving average of good answers; 0: none yet.
    instant ejected_until{};
    instant busy_until{};
    instant quiet_until{};
    instant mistaken_until{};
    history_position mistaken_record = {};  ///< Of the record that was found wrong.
    std::uint32_t ejections = 0;            ///< In a row.
    std::uint32_t refusals = 0;             ///< In a row.
  };

  [[nodiscard]] bool Fits(const member& each, const placement& wanted) const;
  /// \returns true when it may be sent a request now.
  [[nodiscard]] static bool Open(const member& each, instant now);
  [[nodiscard]] double Score(const member& each, const placement& wanted, double fastest_ms,
                             instant now) const;
  /// \returns The failed share, which fades while nothing new is learnt.
  [[nodiscard]] double FailureShare(const member& each, instant now) const;
  static void SetFailureShare(member& each, double share, instant now);
  void Eject(member& failing, instant now) const;
  void CountFailure(member& failing, instant now) const;
  /// \returns The mean failed share of the other servers of its service.
  [[nodiscard]] double FailureShareOfOthers(const member& one, instant now) const;

  options settings_;
  std::map<std::string, member> members_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_BACKEND_SELECTOR_H_
