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

/// \brief Puts the pieces of one answer in order, each once.
///
/// Takes only the current attempt's pieces. Those that come early wait in a
/// bounded buffer; duplicates and pieces of replaced attempts fall away. The
/// answer is complete when every piece before its end has been taken, so an
/// end that overtakes pieces waits for them.
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
    std::size_t max_early = 64;  ///< Pieces that may wait for an earlier one.
  };

  explicit stream_assembler(options settings) : settings_(settings) {}

  /// \brief Takes one piece.
  /// \returns The texts that are next in order; empty when there are none.
  /// \remark A piece too far ahead for the buffer is dropped and sets `overflowed`.
  [[nodiscard]] std::vector<std::string> Take(attempt_number attempt, std::uint64_t offset,
                                              std::string text);

  /// \brief Takes the answer's end.
  /// \returns false when it contradicts what has been taken, or is of another attempt.
  bool End(attempt_number attempt, std::uint64_t end_offset);

  /// \brief Goes on with a later attempt at the next offset; what waits is dropped.
  void Replace(attempt_number attempt);

  /// \brief Forgets an overflow, after the missing pieces have been asked for again.
  void ClearOverflow() { overflowed_ = false; }

  [[nodiscard]] attempt_number attempt() const { return settings_.attempt; }
  [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }
  [[nodiscard]] bool overflowed() const { return overflowed_; }
  /// \returns true when the end is known and every piece before it was taken.
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
