#ifndef JACINTHSPOOL_ROUTING_ORIGIN_VERDICT_H_
#define JACINTHSPOOL_ROUTING_ORIGIN_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/stream_origins.h"

namespace jacinthspool {

/// \brief How the origin of a stream is known.
enum class origin_evidence : std::uint8_t {
  kNone,         ///< It is not known.
  kNoted,        ///< It is remembered.
  kContested,    ///< Several were stated.
  kOnlyVersion,  ///< The service had no other version while the stream can have begun.
  kSeenVersion,  ///< Likewise, but versions may have come and gone unseen.
  kSeveral,      ///< The service had several versions, of which any may have begun it.
};

[[nodiscard]] std::string_view ToString(origin_evidence evidence);

/// \brief What one gateway knows of a stream's origin.
struct origin_knowledge {
  origin_evidence evidence = origin_evidence::kNone;
  stream_origin origin = {};
  milliseconds age{};  ///< Since it was noted.
};

/// \brief Decides from what several gateways know where a stream began.
///
/// What one remembers is proof. That a service had only one version is proof if this gateway's list
/// has been confirmed since, and nobody knows better. Without proof only a stream that its caller
/// does not name may go on, which nobody can have remembered.
///
/// Load: a few comparisons for each answer.
class origin_verdict {
 public:
  struct options {
    bool named = false;      ///< The caller names the stream.
    std::size_t others = 0;  ///< How many gateways are asked.
  };

  /// \param own What this gateway knows.
  origin_verdict(const origin_knowledge& own, const options& settings) : settings_(settings) {
    SetOwn(own);
  }

  /// \brief This gateway knows more than before.
  void SetOwn(const origin_knowledge& own) {
    proved_ = own.evidence == origin_evidence::kOnlyVersion;
    awaited_ = own.evidence == origin_evidence::kSeenVersion;
    Add(own);
  }

  /// \brief Adds the answer of one gateway.
  void OnAnswer(const origin_knowledge& answer) {
    ++answers_;
    heard_ = heard_ || answer.evidence != origin_evidence::kNone;
    Add(answer);
  }

  /// \returns true when no further answer can change the verdict.
  [[nodiscard]] bool settled() const {
    if (noted_ || contested_) {
      return true;
    }
    if (settings_.named) {
      return (proved_ && !several_) || (answers_ >= settings_.others && (several_ || !awaited_));
    }
    return answers_ >= settings_.others || (!several_ && agreeing_ > 1);
  }

  /// \returns What is known once the answers are in or have been waited for. A version that was
  /// only seen is no proof.
  [[nodiscard]] origin_knowledge Conclude() const;

 private:
  void Add(const origin_knowledge& knowledge);

  options settings_;
  bool proved_ = false;   ///< This gateway knows that there was only one version.
  bool awaited_ = false;  ///< It may know so once its list is confirmed.
  bool heard_ = false;    ///< Some gateway knows something.
  std::size_t answers_ = 0;
  std::optional<origin_knowledge> noted_;
  std::size_t agreeing_ = 0;  ///< Gateways that know that there was only one version.
  bool contested_ = false;
  bool several_ = false;
  std::optional<stream_origin> seen_;  ///< Of the version that the service has.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_ORIGIN_VERDICT_H_
