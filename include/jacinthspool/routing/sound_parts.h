#ifndef JACINTHSPOOL_ROUTING_SOUND_PARTS_H_
#define JACINTHSPOOL_ROUTING_SOUND_PARTS_H_

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/crash_suspect.h"

namespace jacinthspool {

/// \brief The parts of prompts to which this process has seen answers.
///
/// A segmented LRU: a part that has been seen again is pushed out only by others that have been
/// seen again, so that a flood of new parts leaves the known ones in place.
class sound_parts {
 public:
  struct options {
    std::size_t max_new = 8192;       ///< Parts seen once.
    std::size_t max_frequent = 8192;  ///< Parts seen again.
  };

  explicit sound_parts(const options& settings) : settings_(settings) {}

  /// \brief Records that an answer to a request with the part went on.
  void Add(prompt_part part, instant now);

  /// \returns When that was seen last, or nothing.
  [[nodiscard]] std::optional<instant> Find(prompt_part part) const;

  [[nodiscard]] std::size_t size() const { return index_.size(); }

 private:
  struct entry {
    prompt_part part = 0;
    instant seen{};
    bool frequent = false;
  };

  options settings_;
  std::list<entry> new_;       ///< The newest first.
  std::list<entry> frequent_;  ///< The newest first.
  std::unordered_map<prompt_part, std::list<entry>::iterator> index_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_SOUND_PARTS_H_
