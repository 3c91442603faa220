#ifndef JACINTHSPOOL_ROUTING_OUTPUT_LENGTH_ESTIMATE_H_
#define JACINTHSPOOL_ROUTING_OUTPUT_LENGTH_ESTIMATE_H_

#include <cstdint>
#include <map>
#include <string>

namespace jacinthspool {

/// \brief Estimates the length of answers from the lengths that callers expect.
///
/// When answers exceed the memory reserved for them, an engine runs out of memory,
/// evicts a request and prefills its prompt again. Inaccurate expectations are
/// therefore corrected towards the usual length, by a linear regression of the
/// logarithms over past answers.
class output_length_estimate {
 public:
  struct options {
    /// Standard errors above the estimate's mean that are reserved.
    double margin = 1.0;
    /// Number of answers from which the regression outweighs the caller's expectation.
    double prior_answers = 12;
    /// Answers over which the weight of older ones decays.
    double averaging_answers = 400;
  };

  explicit output_length_estimate(const options& settings) : settings_(settings) {}

  /// \brief Records an answer that was completed.
  /// \param guessed Output tokens that the caller expected.
  /// \param produced Output tokens of the answer.
  void Learn(const std::string& service, std::uint64_t guessed, std::uint64_t produced);

  /// \returns The number of output tokens to reserve memory for, at most `most`.
  [[nodiscard]] std::uint64_t TokensToReserve(const std::string& service, std::uint64_t guessed,
                                              std::uint64_t most) const;

  /// \returns The number of output tokens that is exceeded as often as not, at most `most`.
  [[nodiscard]] std::uint64_t ExpectedTokens(const std::string& service, std::uint64_t guessed,
                                             std::uint64_t most) const;

 private:
  /// Logarithm of an answer's length, and its standard error.
  struct estimate {
    double middle = 0;
    double error = 0;
  };
  [[nodiscard]] estimate Estimate(const std::string& service, std::uint64_t guessed) const;

  /// Decayed sums over pairs of logarithms: x of the expected, y of the produced tokens.
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

#endif  // JACINTHSPOOL_ROUTING_OUTPUT_LENGTH_ESTIMATE_H_
