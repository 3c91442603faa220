#ifndef JACINTHSPOOL_ROUTING_BACKEND_LIST_H_
#define JACINTHSPOOL_ROUTING_BACKEND_LIST_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/store_position.h"

namespace jacinthspool {

/// \brief The stage of a model request that a backend server runs.
enum class engine_stage { kNone, kPrefill, kDecode };

[[nodiscard]] std::string_view ToString(engine_stage stage);

/// \brief One published backend server.
struct backend_record {
  std::string id = {};  ///< Of one incarnation, unless the server keeps its id over restarts.
  /// Start time in Unix milliseconds, which distinguishes incarnations of one id; 0: unknown.
  std::uint64_t started_ms = 0;
  std::string service = {};
  /// Version of the server's software; what two versions write doesn't fit together. Empty:
  /// unknown.
  std::string software = {};
  std::string address = {};  ///< ip:port
  std::string data_centre = {};
  engine_stage stage = engine_stage::kNone;
  std::uint32_t slots = 1;
  bool leaving = false;
  store_position published = {};  ///< Position of this record in the store.
};

/// \brief A backend server whose entry a gateway has seen removed while the publisher was
/// available.
struct departed_backend {
  std::string id = {};
  std::uint64_t started_ms = 0;  ///< Of the incarnation that departed, as in its record.
  store_position at = {};        ///< Position of the removal.
};

/// \brief The backend servers that are published and may be used.
///
/// While the publisher is unavailable, its entries expire although the servers are
/// alive. Removals are therefore deferred until a grace period after the publisher
/// is reachable again, and only servers that are still missing are dropped. A
/// removal that another gateway has seen at an available publisher is no such
/// lapse and takes effect at once. A publisher that is restored from an older copy begins a new
/// era: removals of servers that the copy lacks are deferred in the same way, and servers that it
/// contains although their removal was seen get no requests until they are
/// published again.
class backend_list {
 public:
  struct options {
    /// Time in which servers publish expired entries again once the publisher is reachable.
    microseconds expiry_grace = seconds(2);
    /// How long the notice that a server is leaving is kept after its entry was removed.
    microseconds leaving_retention = seconds(600);
    /// An entry of an older copy whose removal was seen expires in this time unless its server is
    /// alive: three heartbeats and the grace period.
    microseconds stale_entry_life = seconds(6);
  };

  explicit backend_list(const options& settings) : settings_(settings) {}

  /// \brief Replaces the list by a complete one as of that position; an older one is ignored.
  void Replace(std::vector<backend_record> records, store_position at, instant now);

  /// \brief Applies one change; changes older than the known record are ignored.
  void Put(backend_record record);
  void Remove(const std::string& id, store_position at, instant now);

  /// \brief Applies a removal that another gateway has seen, unless a newer record is known.
  ///
  /// Records that are not newer than the removal are ignored from then on.
  /// \returns true when the list has changed.
  bool Depart(const departed_backend& departed, instant now);

  /// \returns The removals after that position that were not deferred.
  [[nodiscard]] std::vector<departed_backend> DepartedAfter(const store_position& after) const;

  /// \returns The number of servers whose removal is deferred.
  [[nodiscard]] std::size_t deferred() const { return deferred_removals_.size(); }

  /// \returns The position from which on removals may have been missed or deferred.
  [[nodiscard]] store_position lost_at() const { return lost_at_; }

  /// \brief Marks an incarnation as leaving, as reported by the server itself or by a peer.
  ///
  /// The mark overrides published records until another incarnation has the id.
  /// \returns true when a listed server was not yet marked.
  bool MarkLeaving(const std::string& id, std::uint64_t started_ms, instant now);

  /// \brief Called when the publisher is unreachable or has failed.
  void PublisherLost();
  /// \brief Called when the publisher answers again.
  void PublisherRegained(instant now);

  /// \brief Drops the servers whose deferred removal is due, and unmarks stale entries that have
  /// proved to be alive.
  /// \returns true when the list has changed.
  bool Expire(instant now);

  /// \returns The usable servers and those that are leaving, by id.
  [[nodiscard]] const std::map<std::string, backend_record>& backends() const { return backends_; }
  [[nodiscard]] store_position position() const { return position_; }
  [[nodiscard]] std::uint64_t revision() const { return position_.revision; }

 private:
  /// \brief Report that an incarnation is leaving.
  struct leaving_notice {
    std::uint64_t started_ms = 0;
    instant received{};
  };

  /// \brief An incarnation whose removal was seen.
  struct removal {
    std::uint64_t started_ms = 0;
    store_position at = {};
    instant seen{};
  };

  [[nodiscard]] bool PublisherUnstable(instant now) const;
  /// \returns true if the record is from before the server's removal.
  [[nodiscard]] bool Removed(const backend_record& record) const;
  /// \returns The record, marked as leaving if its incarnation was reported to leave.
  [[nodiscard]] backend_record WithLeavingMark(backend_record record);
  /// \brief Keeps the leaving marks of the older era, which the new one may have lost, and starts
  /// the grace period.
  void BeginEra(instant now);
  /// \brief Marks entries whose removal was seen in the older era, for as long as they may be
  /// stale.
  void MarkStaleEntries(instant now);
  void Drop(const std::string& id, store_position at, instant now);

  options settings_;
  std::map<std::string, backend_record> backends_;
  std::map<std::string, store_position>
      deferred_removals_;  ///< Deferred removals, with their position.
  std::map<std::string, leaving_notice> leaving_notices_;  ///< By id.
  std::map<std::string, removal> removals_;                ///< By id.
  std::map<std::string, instant> stale_entries_;           ///< By id, with the expiry of the mark.
  store_position position_;
  bool lost_ = false;
  store_position lost_at_;
  instant regained_at_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_BACKEND_LIST_H_
