#ifndef JACINTHSPOOL_SETTINGS_SETTINGS_STORE_H_
#define JACINTHSPOOL_SETTINGS_SETTINGS_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jacinthspool/impl/messages.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Holds the settings in force and takes in new versions, whatever their source.
///
/// Each subtree ("operators", "teams/NAME") has its own revision; a lower or
/// faulty version is never applied and is reported through `on_findings`. Pure: no sockets.
class settings_store {
 public:
  struct options {
    std::function<void(std::shared_ptr<const settings_snapshot>)> on_change = {};
    std::function<void(const findings&)> on_findings = {};
  };

  explicit settings_store(options settings);
  ~settings_store();

  /// \brief Offers one document, from the service, a file or a peer.
  /// \returns true when it came into force.
  bool Offer(const std::string& path, const std::string& text);

  [[nodiscard]] std::shared_ptr<const settings_snapshot> current() const;

  /// \returns Digest over all (path, revision) pairs, as sent in heartbeats.
  [[nodiscard]] std::uint64_t digest() const;

  /// \brief What a peer needs to see who is ahead.
  [[nodiscard]] settings_versions Versions() const;
  /// \brief What to ask of a peer that has these versions; empty paths when nothing.
  [[nodiscard]] settings_fetch MissingFrom(const settings_versions& theirs) const;
  /// \brief The asked documents, as they came, for a peer that is behind.
  [[nodiscard]] settings_documents Documents(const settings_fetch& asked) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_SETTINGS_STORE_H_
