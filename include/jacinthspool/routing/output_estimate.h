#ifndef JACINTHSPOOL_ROUTING_OUTPUT_ESTIMATE_H_
#define JACINTHSPOOL_ROUTING_OUTPUT_ESTIMATE_H_

#include <cstdint>
#include <map>
#include <string>

namespace jacinthspool {

/// \brief Learns how long answers really get, from what their callers guessed.
///
/// The load it answers: engines that run out of memory because answers outgrow
/// the room kept for them; the engine then evicts a run and reads its prompt
/// again. Guesses that are far off are drawn towards the usual length, by a
/// regression of the logarithms over the answers seen.
class output_estimate {
 public:
  struct options {
    /// Standard errors above the middle of the estimate for which room is kept.
    double margin = 1.0;
    /// Answers after which what was learnt outweighs the plain guess.
    double prior_answers = 12;
    /// Answers over which older ones fade.
    double memory_answers = 400;
  };

  explicit output_estimate(const options& settings) : settings_(settings) {}

  /// \brief Counts an answer that has ended by itself.
  void Learn(const std::string& service, std::uint64_t guessed, std::uint64_t produced);

  /// \returns Output tokens for which room should be kept, at most `most`.
  [[nodiscard]] std::uint64_t RoomFor(const std::string& service, std::uint64_t guessed,
                                      std::uint64_t most) const;

 private:
  /// Faded sums over pairs of logarithms: x of the guess, y of the answer.
  struct sums {
    double count = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    double yy = 0;
  };

  options settings_;
  std::map<std::string, sums> services_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_OUTPUT_ESTIMATE_H_
