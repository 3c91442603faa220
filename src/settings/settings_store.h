#ifndef JACINTHSPOOL_SETTINGS_SETTINGS_STORE_H_
#define JACINTHSPOOL_SETTINGS_SETTINGS_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jacinthspool/impl/messages.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Holds the settings in force and applies new versions from any source.
///
/// Each subtree ("operators", "teams/NAME") has its own revision; a lower or
/// faulty version is never applied and is reported through `on_findings`. Performs no I/O.
class settings_store {
 public:
  struct options {
    std::function<void(std::shared_ptr<const settings_snapshot>)> on_change = {};
    std::function<void(const findings&)> on_findings = {};
  };

  explicit settings_store(options settings);
  ~settings_store();

  /// \brief Applies a document of the service, a file or a peer if it is valid and newer.
  /// \returns true when the document was applied.
  bool Offer(const std::string& path, const std::string& text);

  [[nodiscard]] std::shared_ptr<const settings_snapshot> current() const;

  /// \returns Digest over all (path, revision) pairs, as sent in heartbeats.
  [[nodiscard]] std::uint64_t digest() const;

  /// \returns The revisions in force, which a peer compares with its own.
  [[nodiscard]] settings_versions Versions() const;
  /// \returns The paths of which the peer has a newer revision; may be empty.
  [[nodiscard]] settings_fetch MissingFrom(const settings_versions& peer_versions) const;
  /// \returns The requested documents in their original text, up to a size limit.
  [[nodiscard]] settings_documents Documents(const settings_fetch& request) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_SETTINGS_STORE_H_
