#ifndef JACINTHSPOOL_ROUTING_LOAD_SHEDDER_H_
#define JACINTHSPOOL_ROUTING_LOAD_SHEDDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Refuses a share of the requests for a service whose answers come too slowly.
///
/// The load it answers: a plain service that lost servers or is flooded. Its
/// servers queue, every answer gets late, and callers gain nothing from being
/// let in. The share that is refused follows the answers: it rises with each
/// that takes most of its latency objective and falls with each that doesn't,
/// so that those let in are answered in time.
class load_shedder {
 public:
  struct options {
    double slow_share = 0.6;              ///< An answer is slow above this part of the objective.
    double rise = 0.05;                   ///< Of the refused share, with each slow answer.
    double fall = 0.03;                   ///< Of the refused share, with each timely answer.
    double least = 0.1;                   ///< A smaller share refuses nobody.
    double most = 0.85;                   ///< Some are always let in, to find out when it is over.
    microseconds half_life = seconds(2);  ///< The share halves in this time without answers.
  };

  explicit load_shedder(const options& settings) : settings_(settings) {}

  /// \param random Any random number.
  [[nodiscard]] bool Admit(const std::string& service, std::uint64_t random, instant now) const;

  /// \brief A server has answered after `taken`, queueing included.
  void OnAnswer(const std::string& service, microseconds taken, microseconds objective,
                instant now);

  /// \brief A server was too full to take a request.
  void OnFull(const std::string& service, instant now);

  /// \returns The share that is refused now.
  [[nodiscard]] double refused_share(const std::string& service, instant now) const;

 private:
  struct share {
    double refused = 0;
    instant updated{};
  };
  void Move(const std::string& service, double by, instant now);

  options settings_;
  std::map<std::string, share> services_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_LOAD_SHEDDER_H_
