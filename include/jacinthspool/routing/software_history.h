#ifndef JACINTHSPOOL_ROUTING_SOFTWARE_HISTORY_H_
#define JACINTHSPOOL_ROUTING_SOFTWARE_HISTORY_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/origin_verdict.h"

namespace jacinthspool {

/// \brief Which software versions of a service were published, and since when that is known.
///
/// Load: one entry for each version of a service that was published within the retention.
class software_history {
 public:
  struct options {
    microseconds retention = seconds(600);  ///< Of versions that are published no longer.
  };

  explicit software_history(const options& settings) : settings_(settings) {}

  /// \brief Applies the list of the published servers.
  void Update(const std::map<std::string, backend_record>& listed, instant now);
  /// \brief Applies the newest record of one server.
  void Update(const backend_record& record);
  /// \brief A whole list was applied: what came and went before is unknown.
  void OnList(instant now) { complete_since_ = now; }
  /// \brief Every change since the list that was published before `sent` has been applied.
  void OnConfirmed(instant sent) { confirmed_ = std::max(confirmed_, sent); }

  /// \brief When a stream can have begun.
  struct period {
    instant oldest{};
    instant newest{};
  };
  /// \returns What the versions that the service's servers have had since `oldest` tell of a stream
  /// that began in that period. The only version is proof if every change of the whole period is
  /// known: that no news has come is none.
  [[nodiscard]] origin_knowledge EvidenceOf(std::string_view service, const period& begun) const;

 private:
  struct versions {
    /// Time at which a version was last published; nothing: it still is.
    std::map<std::string, std::optional<instant>> last = {};
  };

  options settings_;
  std::map<std::string, versions, std::less<>> services_ = {};
  std::optional<instant> complete_since_ = {};
  instant confirmed_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_SOFTWARE_HISTORY_H_
