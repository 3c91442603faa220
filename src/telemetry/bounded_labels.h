#ifndef JACINTHSPOOL_TELEMETRY_BOUNDED_LABELS_H_
#define JACINTHSPOOL_TELEMETRY_BOUNDED_LABELS_H_

#include <cstddef>
#include <set>
#include <string>
#include <utility>

namespace jacinthspool {

/// \brief Values of a metric's label, bounded in number: the first ones have metrics of their own,
/// and the others are counted together.
class bounded_labels {
 public:
  struct options {
    std::size_t most = 32;       ///< Values with a metric of their own.
    std::string rest = "other";  ///< Label of all others.
  };

  explicit bounded_labels(options settings) : settings_(std::move(settings)) {}

  /// \returns The value itself, or the label of the others.
  [[nodiscard]] const std::string& Of(const std::string& value) {
    if (known_.size() < settings_.most) {
      known_.insert(value);
    }
    return known_.contains(value) ? value : settings_.rest;
  }

 private:
  options settings_;
  std::set<std::string> known_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TELEMETRY_BOUNDED_LABELS_H_
