#ifndef JACINTHSPOOL_ROUTING_EXTRA_BUDGET_H_
#define JACINTHSPOOL_ROUTING_EXTRA_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief This entry's part of the sends beyond the first that all entries may make to a service.
///
/// The load it answers: a service that fails or rejects much, where unbounded
/// repeats of all entries would multiply what it has to take. In each sliding
/// window the repeats stay below a share of the requests plus a fixed number,
/// of which each entry takes an equal part.
class extra_budget {
 public:
  struct options {
    double ratio = 0.2;  ///< Repeats for each request.
    microseconds window = seconds(10);
    double extra = 50;          ///< Repeats of all entries that no request pays for.
    std::uint32_t entries = 1;  ///< Entries that share `extra`.
    /// When this process started: its part of `extra` grows over the first window, since the
    /// process before it may have spent it.
    instant started{};
  };

  explicit extra_budget(const options& settings) : settings_(settings) {}

  /// \brief Counts a request for the service.
  void CountRequest(instant now, const std::string& service);

  /// \brief Takes one repeat.
  /// \returns false when there is none left; nothing is taken then.
  [[nodiscard]] bool Draw(instant now, const std::string& service);

  /// \brief Counts a repeat that was only found to be one afterwards.
  void Charge(instant now, const std::string& service);

  /// \returns Repeats that are left now.
  [[nodiscard]] double left(instant now, const std::string& service) const;

  void SetEntries(std::uint32_t entries) { settings_.entries = entries > 0 ? entries : 1; }
  void SetLimits(double ratio, microseconds window, double extra);

 private:
  /// Counts of one slice of the window.
  struct slice {
    std::int64_t number = 0;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };
  [[nodiscard]] std::int64_t SliceNumber(instant now) const;
  slice& Current(instant now, const std::string& service);

  options settings_;
  std::map<std::string, std::vector<slice>> services_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_EXTRA_BUDGET_H_
