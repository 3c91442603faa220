#ifndef JACINTHSPOOL_IMPL_STREAM_ASSEMBLER_H_
#define JACINTHSPOOL_IMPL_STREAM_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/impl/ids.h"

namespace jacinthspool {

/// \brief Orders the pieces of a streamed answer and removes duplicates.
///
/// Only pieces of the current attempt are accepted; pieces of earlier attempts
/// are ignored. Pieces that arrive out of order are held in a bounded buffer.
/// The answer is complete when its end and every piece before it have arrived,
/// in any order.
///
/// \code
/// stream_assembler answer({.attempt = 1});
/// for (std::string& text : answer.Take(1, 0, "Hello")) Deliver(text);
/// answer.End(1, 1);
/// if (answer.complete()) DeliverEnd();
/// \endcode
class stream_assembler {
 public:
  struct options {
    attempt_number attempt = 1;
    std::size_t max_early = 64;  ///< Largest distance ahead of the next offset.
  };

  explicit stream_assembler(options settings) : settings_(settings) {}

  /// \brief Accepts one piece.
  /// \returns The texts that are now deliverable, in order.
  /// \remark A piece further ahead than `max_early` is dropped and sets `overflowed`.
  [[nodiscard]] std::vector<std::string> Take(attempt_number attempt, std::uint64_t offset,
                                              std::string text);

  /// \brief Records the end of the answer.
  /// \returns false when it contradicts the received pieces or belongs to another attempt.
  bool End(attempt_number attempt, std::uint64_t end_offset);

  /// \brief Continues with a later attempt at the next offset and drops buffered pieces.
  void Replace(attempt_number attempt);

  /// \brief Clears the overflow flag after the missing pieces have been requested again.
  void ClearOverflow() { overflowed_ = false; }

  [[nodiscard]] attempt_number attempt() const { return settings_.attempt; }
  [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }
  [[nodiscard]] bool overflowed() const { return overflowed_; }
  /// \returns true when the end and every piece before it have arrived.
  [[nodiscard]] bool complete() const { return end_offset_ == next_offset_; }

 private:
  options settings_;
  std::uint64_t next_offset_ = 0;
  std::optional<std::uint64_t> end_offset_;
  std::map<std::uint64_t, std::string> early_;
  bool overflowed_ = false;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_STREAM_ASSEMBLER_H_
