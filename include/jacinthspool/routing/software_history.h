#ifndef JACINTHSPOOL_ROUTING_SOFTWARE_HISTORY_H_
#define JACINTHSPOOL_ROUTING_SOFTWARE_HISTORY_H_

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
  /// \param complete Every change of the list reaches this process; what came and went before is
  /// unknown.
  void SetComplete(bool complete, instant now);

  /// \returns What the versions that the service's servers had within that time tell of a stream
  /// that began then.
  [[nodiscard]] origin_knowledge EvidenceOf(std::string_view service, microseconds within,
                                            instant now) const;

 private:
  struct versions {
    /// Time at which a version was last published; nothing: it still is.
    std::map<std::string, std::optional<instant>> last = {};
  };

  options settings_;
  std::map<std::string, versions, std::less<>> services_ = {};
  std::optional<instant> complete_since_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_SOFTWARE_HISTORY_H_
