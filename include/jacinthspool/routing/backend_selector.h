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
#include "jacinthspool/routing/engine_pace.h"
#include "jacinthspool/routing/send_limiter.h"
#include "jacinthspool/routing/unfinished_bytes.h"

namespace jacinthspool {

/// \brief Result of an attempt, as evidence about its backend server.
enum class attempt_result {
  kGood,         ///< A complete answer, or one that was begun when its caller disconnected.
  kBusy,         ///< Rejected without running it: full.
  kUnreachable,  ///< No connection.
  kFailed,       ///< An error, a truncated answer or none.
  kUnknown,      ///< Ended early without evidence, such as by the caller.
};

/// \brief An attempt for which a backend server is wanted.
struct placement {
  std::string_view service;
  engine_stage stage = engine_stage::kNone;
  /// Only servers that are known to run this software version; nothing: any.
  std::optional<std::string_view> software = {};
  double cost = 1;          ///< Load that it adds: tokens of a model request, otherwise 1.
  bool repeatable = false;  ///< May probe a backend server that has failed.
  const std::set<std::string>* tried = nullptr;  ///< Excluded from the choice.
  bool only_free = false;                        ///< Choose no server rather than a busy one.
  /// Excludes the servers whose request limit is reached; null: none.
  const send_limiter* limiter = nullptr;
  std::uint32_t calls = 1;  ///< Requests that will be sent to the server.
  /// Where some server of the service is known, servers are drawn by their shares;
  /// null: by their score alone.
  const engine_pace* pace = nullptr;
  std::size_t body_bytes = 0;
  /// What the servers hold; decides between servers of about equal score for a large body. Null:
  /// not considered.
  const unfinished_bytes* unfinished = nullptr;
};

/// \brief What the limits of a service's servers allow.
struct limited_capacity {
  double per_second = 0;              ///< Placements of all servers together.
  std::optional<instant> ready = {};  ///< Of the first server; nothing: this process gets no share.
};

/// \brief Chooses the backend server for an attempt, by the results of attempts in this process.
///
/// Servers differ in speed, and some fail part of their requests or stop answering
/// while their health checks pass. Each server is therefore judged by its answers
/// to this process. A failing server is ejected for a cool-down that doubles each
/// time, and is then probed with a repeatable request first. At most half of a
/// service's servers are ejected at once.
class backend_selector {
 public:
  struct options {
    std::string data_centre;                 ///< Preferred among servers of equal load.
    microseconds min_ejection = seconds(1);  ///< First cool-down of a failing server.
    microseconds max_ejection = seconds(8);
    microseconds failure_half_life = seconds(3);  ///< Of the failure share, without new results.
    /// A server that rejects a request is avoided for this time, doubled with each further
    /// rejection.
    microseconds busy_pause = milliseconds(150);
    microseconds max_busy_pause = milliseconds(1200);
    /// How long a record that was found wrong is not used while no newer one is published.
    microseconds wrong_record_pause = seconds(5);
  };

  explicit backend_selector(const options& settings) : settings_(settings) {}

  /// \brief Replaces the set of servers; the statistics of those that remain are kept.
  void Update(const std::map<std::string, backend_record>& backends);
  /// \brief Applies the newest record of one server.
  void Update(const backend_record& record);

  /// \param random Any random number; breaks ties.
  /// \returns The server, or null when the service has none that may be used.
  [[nodiscard]] const backend_record* Choose(const placement& wanted, instant now,
                                             std::uint64_t random) const;

  /// \returns What the limits allow, when all servers that may be chosen have a limit; otherwise
  /// nothing.
  [[nodiscard]] std::optional<limited_capacity> LimitedCapacity(const placement& wanted,
                                                                instant now) const;

  /// \returns true when some server accepts new requests of that service and stage.
  [[nodiscard]] bool Has(std::string_view service, engine_stage stage) const;

  /// \returns The number of servers that accept new requests of that service and stage and run
  /// that software version.
  [[nodiscard]] std::size_t CountSoftware(std::string_view service, engine_stage stage,
                                          std::string_view software) const;

  /// \returns The stage of the service's servers that answer requests.
  [[nodiscard]] engine_stage ServingStage(std::string_view service) const {
    return Has(service, engine_stage::kDecode) ? engine_stage::kDecode : engine_stage::kNone;
  }

  /// \brief Counts the load of an attempt that starts.
  void OnStarted(const std::string& id, double cost);
  /// \brief Removes the load of an attempt and records its result.
  /// \param taken Time to the first byte of a good answer.
  void OnEnded(const std::string& id, double cost, attempt_result result, microseconds taken,
               instant now);

  /// \brief Counts a failure of a server that exceeded the expected time without an answer.
  void OnSilent(const std::string& id, instant now);

  /// \brief Sends the server no request until that time, as it has requested by Retry-After.
  ///
  /// Unlike a busy server it is not chosen even when it is the only one.
  void SetBackOff(const std::string& id, instant until);
  [[nodiscard]] bool backing_off(const std::string& id, instant now) const;

  /// \returns When the first server of the service and stage accepts requests again, if all of
  /// them are backing off; otherwise nothing.
  [[nodiscard]] std::optional<instant> BackOffEnd(std::string_view service, engine_stage stage,
                                                  instant now) const;

  /// \brief Marks a published record whose address belongs to another server, or whose stage is
  /// out of date.
  ///
  /// The server is not chosen until a newer record is published, and for `wrong_record_pause` at
  /// most, since the record may be correct after all.
  void MarkRecordWrong(const std::string& id, instant now);

  /// \brief Marks the server as out of free memory until that time.
  void SetBusy(const std::string& id, instant until);
  void ClearBusy(const std::string& id);

  /// \returns The number of servers that are ejected now, for metrics.
  [[nodiscard]] std::size_t ejected(instant now) const;

 private:
  struct member {
    backend_record record;
    std::uint32_t running = 0;
    double load = 0;
    double failure_share = 0;  ///< Moving average of failed attempts, as of `updated`.
    instant updated{};
    double latency_ms = 0;  ///< Moving average of good answers; 0: none yet.
    instant ejected_until{};
    instant busy_until{};
    instant back_off_until{};
    instant wrong_record_until{};
    store_position wrong_record = {};  ///< Position of the record that was found wrong.
    std::uint32_t ejections = 0;       ///< Consecutive.
    std::uint32_t rejections = 0;      ///< Consecutive.
  };

  [[nodiscard]] bool Matches(const member& each, const placement& wanted) const;
  /// \returns true when the server may be sent a request now.
  [[nodiscard]] static bool Available(const member& each, instant now);
  /// \returns true when the server is ejected, or on probation and the request not repeatable.
  [[nodiscard]] static bool IsEjected(const member& each, const placement& wanted, instant now);
  [[nodiscard]] double Score(const member& each, const placement& wanted, double fastest_ms,
                             instant now) const;
  /// \returns The failure share, which decays without new results.
  [[nodiscard]] double FailureShare(const member& each, instant now) const;
  static void SetFailureShare(member& each, double share, instant now);
  void Eject(member& failing, instant now) const;
  void CountFailure(member& failing, instant now) const;
  /// \returns The mean failure share of the other servers of its service and stage.
  [[nodiscard]] double FailureShareOfOthers(const member& one, instant now) const;

  options settings_;
  std::map<std::string, member> members_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_BACKEND_SELECTOR_H_
