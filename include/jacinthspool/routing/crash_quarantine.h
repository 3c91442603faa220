#ifndef JACINTHSPOOL_ROUTING_CRASH_QUARANTINE_H_
#define JACINTHSPOOL_ROUTING_CRASH_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "jacinthspool/routing/crash_causes.h"
#include "jacinthspool/routing/crash_report.h"
#include "jacinthspool/routing/quarantine_verdict.h"
#include "jacinthspool/routing/sound_parts.h"

namespace jacinthspool {

/// \brief A request that one gateway sent to show whether a verdict still holds.
struct suspect_trial {
  crash_suspect suspect = 0;
  std::string gateway = {};
  std::uint32_t number = 0;  ///< From 0, of this gateway's trials of the suspect.
  instant sent{};

  friend bool operator==(const suspect_trial&, const suspect_trial&) = default;
};

/// \brief Holds back requests that crash backend servers, or whose prompts do, for a fleet of
/// gateways.
///
/// Each gateway reports the servers that ended under its requests and the suspects of
/// these requests that had no answer yet; the reports of all gateways merge in any
/// order. A suspect that explains several crashes, and to which no answer is known
/// since, is held: no gateway sends requests with it. Any answer to such a request
/// clears it at all gateways.
class crash_quarantine {
 public:
  struct options {
    std::string gateway = {};  ///< Name of this gateway.
    bool has_peers = false;
    instant started{};
    crash_rules rules = {};
    sound_parts::options sound = {};
    std::size_t max_reports = 128;
    std::size_t max_trial_records = 256;
    /// Of a report that is no evidence against a held suspect.
    microseconds retention = seconds(600);
    /// Of the evidence against a held suspect.
    microseconds held_retention = std::chrono::hours(24);
    /// After the start, without an answer of another gateway.
    microseconds settle = milliseconds(1500);
    /// Without an answer of another gateway this one is cut off.
    microseconds contact_timeout = seconds(5);
    /// Connections of one server that end within this time ended together.
    microseconds together = milliseconds(50);
    /// An answer later than this after the end of a server may be of its successor; a cut later
    /// than this is another episode.
    microseconds latest_refutation = seconds(2);
    /// A refused connection or lapsed registration confirms a cut that is not older.
    microseconds latest_confirmation = seconds(10);
    /// Bytes of a server that has ended may still arrive within this time.
    microseconds earliest_refutation = milliseconds(150);
    /// From the last crash to the first trial; doubled with each further crash and trial.
    microseconds trial_interval = seconds(20);
    /// The same while the evidence does not separate several suspects. Any gateway makes the trial,
    /// with the first request that has only one of them.
    microseconds alike_trial_interval = seconds(2);
    std::uint32_t max_trials = 2;  ///< Of one suspect, by all gateways.
    /// The next gateway may make a trial when this one had no request for it.
    microseconds trial_turn = seconds(10);
  };

  explicit crash_quarantine(options settings);

  /// \brief Sets whether other gateways are known.
  void SetHasPeers(bool has_peers) { settings_.has_peers = has_peers; }

  /// \brief An attempt at a server ended without a complete answer.
  ///
  /// Not called for servers that leave by a planned stop, nor when the gateway or
  /// its caller ended the attempt.
  /// \param unanswered The suspects of its request; empty when its answer had begun. Without a cut
  /// before it, a refused connection or a lapsed registration is ignored.
  void OnServerEnd(const backend_incarnation& server, end_sign sign,
                   std::span<const crash_suspect> unanswered, instant now);

  /// \brief Bytes of a server arrived.
  void OnHeard(const backend_incarnation& server, instant now);

  /// \brief An answer went on: it was complete, or had more than one event.
  ///
  /// Called once for each attempt. A separate prefill is no answer.
  void OnAnswer(std::span<const crash_suspect> suspects, instant now);

  /// \brief Applies what another gateway reports.
  void OnPeer(std::span<const crash_report> reports, std::span<const suspect_trial> trials,
              instant now);

  /// \brief Another gateway has answered this one, and its reports have been applied.
  void OnContact(instant now);

  /// \returns Whether a request with these suspects may be sent now. Asked before each send, also
  /// of a prefill, a repeat or a resumed stream.
  [[nodiscard]] quarantine_verdict Check(std::span<const crash_suspect> suspects,
                                         instant now) const;

  /// \brief A request was sent because `Check` returned `request_trial`.
  void OnTrial(const crash_suspect& suspect, instant now);

  /// \returns Whether a request may go to another server after one has ended under it without an
  /// answer, apart from the kind of its route.
  [[nodiscard]] bool MayRepeat(std::span<const crash_suspect> suspects, instant now) const;

  /// \returns true when attempts with these suspects that have no answer yet are to be cancelled.
  ///
  /// Not while the evidence does not separate several suspects: an answer would.
  [[nodiscard]] bool MustCancel(std::span<const crash_suspect> suspects, instant now) const;

  /// \returns true once after each change that all other gateways should know at once.
  [[nodiscard]] bool TakeNews() { return std::exchange(news_, false); }
  /// \returns true once after each change that another gateway has reported, for one that passes
  /// reports on to gateways that do not know each other.
  [[nodiscard]] bool TakePeerNews() { return std::exchange(peer_news_, false); }

  [[nodiscard]] const crash_reports& reports() const { return reports_; }
  [[nodiscard]] std::vector<suspect_trial> Trials() const;
  /// \returns The held suspects, with the evidence.
  [[nodiscard]] const std::map<crash_suspect, crash_cause>& Held(instant now) const;

  /// \returns true when no other gateway answers this one.
  [[nodiscard]] bool cut_off(instant now) const;

  /// \brief Drops what is out of date.
  void Expire(instant now);

 private:
  /// \returns The newest report on that incarnation, or null.
  [[nodiscard]] crash_report* FindLast(const backend_incarnation& server);

  using trial_key = std::tuple<crash_suspect, std::string, std::uint32_t>;

  /// \returns true while other gateways may know of crashes that this one does not.
  [[nodiscard]] bool Settling(instant now) const;
  void Apply(const crash_report& heard);
  /// \brief Applies unknown reports that are kept only as evidence against what is held.
  void ApplyOld(const crash_reports& old, instant now);
  /// \returns When an answer to a request with that part was seen last; nothing for a request.
  [[nodiscard]] std::optional<instant> LastAnswer(const crash_suspect& suspect) const;
  /// \brief Adds what this process knows of the suspects.
  /// \returns true when any of it is new.
  bool AddStandings(crash_report& report) const;
  /// \returns true when the report is evidence against a held suspect.
  [[nodiscard]] bool Supports(const crash_report& report) const;
  void LimitReports();
  [[nodiscard]] std::uint32_t TrialCount(const crash_suspect& suspect) const;
  /// \returns The time of the last crash or trial of the suspect.
  [[nodiscard]] instant LastEvidence(const crash_cause& held) const;
  /// \returns Whether this gateway may make a trial of the suspect now.
  [[nodiscard]] quarantine_verdict CheckTrial(const crash_cause& held, instant now) const;
  /// \returns The number of servers that ended under the suspect, those included that may not
  /// count.
  [[nodiscard]] std::size_t Suspicions(const crash_suspect& suspect) const;

  options settings_;
  sound_parts sound_;
  crash_reports reports_;
  std::map<trial_key, suspect_trial> trials_;
  /// How often changes of this gateway's own reports, as others reply, are still sent to all.
  std::map<crash_key, std::uint32_t> echoes_;
  /// When this gateway's last connection to each reported server ended.
  std::map<backend_incarnation, instant> last_cut_;
  instant last_contact_;
  bool had_contact_ = false;
  bool news_ = false;
  bool peer_news_ = false;
  mutable std::map<crash_suspect, crash_cause> held_;
  mutable bool stale_ = true;  ///< `held_` must be computed anew.
  mutable bool held_while_cut_off_ = false;
  mutable instant recheck_at_{};  ///< The next report that is old enough to count.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CRASH_QUARANTINE_H_
