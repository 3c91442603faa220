#ifndef JACINTHSPOOL_ROUTING_BACKEND_LIST_H_
#define JACINTHSPOOL_ROUTING_BACKEND_LIST_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/history_position.h"

namespace jacinthspool {

/// \brief Which part of a model request a backend server takes.
enum class engine_stage { kNone, kPrefill, kDecode };

/// \brief One published backend server.
struct backend_record {
  std::string id = {};  ///< Names one incarnation, but for a server that keeps its id.
  /// Tells the incarnations of one id apart: the Unix millisecond of its start; 0: not told.
  std::uint64_t started_ms = 0;
  std::string service = {};
  std::string address = {};  ///< ip:port
  std::string data_centre = {};
  engine_stage stage = engine_stage::kNone;
  std::uint32_t slots = 1;
  bool leaving = false;
  history_position published = {};  ///< When this was told.
};

/// \brief The published backend servers, as far as they may be used.
///
/// While the publisher is disturbed its entries lapse although the servers live:
/// a removal is then held back until a grace after its return, and only servers
/// that are still missing are dropped. A publisher that comes back from an older
/// copy begins a new era: what it lacks is held back in the same way, and what
/// it has although its removal was seen gets no work until it is published again.
class backend_list {
 public:
  struct options {
    /// Time in which lapsed entries come back after the publisher's return.
    microseconds lapse_grace = seconds(2);
    /// How long it is remembered that a server said that it leaves, after its entry is gone.
    microseconds leaving_memory = seconds(600);
    /// An entry of an older copy whose removal was seen lapses in this time, unless its server
    /// lives: three heartbeats and the grace.
    microseconds ghost_life = seconds(6);
  };

  explicit backend_list(const options& settings) : settings_(settings) {}

  /// \brief Takes a complete list that holds what was true at that position.
  void Replace(std::vector<backend_record> records, history_position at, instant now);

  /// \brief Takes one change; changes older than what is known are passed over.
  void Put(backend_record record);
  void Remove(const std::string& id, history_position at, instant now);

  /// \brief The server itself, or a peer that it told, says that this incarnation is leaving.
  ///
  /// Holds whatever the publisher says, until another incarnation has the id.
  /// \returns true when that is news.
  bool MarkLeaving(const std::string& id, std::uint64_t started_ms, instant now);

  /// \brief The publisher can't be reached or has failed.
  void PublisherLost();
  /// \brief The publisher answers again.
  void PublisherBack(instant now);

  /// \brief Drops the servers whose grace is over.
  /// \returns true when the list has changed.
  bool Expire(instant now);

  /// \returns The servers that may be used and those that are leaving, by id.
  [[nodiscard]] const std::map<std::string, backend_record>& backends() const { return backends_; }
  [[nodiscard]] history_position position() const { return position_; }
  [[nodiscard]] std::uint64_t revision() const { return position_.revision; }

 private:
  /// \brief What an incarnation said of itself.
  struct farewell {
    std::uint64_t started_ms = 0;
    instant said{};
  };

  /// \brief An incarnation whose removal was seen.
  struct removal {
    std::uint64_t started_ms = 0;
    instant seen{};
  };

  [[nodiscard]] bool Disturbed(instant now) const;
  /// \returns The record, marked if its incarnation has said that it leaves.
  [[nodiscard]] backend_record Amended(backend_record record);
  /// \brief Takes over what the older era told and the new one may have lost.
  void BeginEra(instant now);
  /// \brief Marks the entries whose removal the older era told, for as long as they may be stale.
  void MarkGhosts(instant now);
  void Drop(const std::string& id, instant now);

  options settings_;
  std::map<std::string, backend_record> backends_;
  std::map<std::string, history_position> missing_;  ///< Held back, with the removal's position.
  std::map<std::string, farewell> farewells_;        ///< By id.
  std::map<std::string, removal> removals_;          ///< By id.
  std::map<std::string, instant> ghosts_;            ///< By id, with the end of the mark.
  history_position position_;
  bool lost_ = false;
  instant back_since_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_BACKEND_LIST_H_
