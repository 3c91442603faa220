#ifndef JACINTHSPOOL_AGENT_ENTRY_LINKS_H_
#define JACINTHSPOOL_AGENT_ENTRY_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

#include "jacinthspool/impl/agent_core.h"
#include "src/settings/settings_store.h"
#include "src/transport/peer.h"

namespace jacinthspool {

/// \brief The connections of entries, and the exchange of settings over them.
///
/// An entry that connects again replaces its earlier connection, whose late
/// end is then of no account.
class entry_links {
 public:
  struct options {
    settings_store& store;
    std::function<void(agent_event)> on_event;
    microseconds resync = seconds(5);  ///< Settings are compared at most this often.
  };
  explicit entry_links(options settings) : settings_(std::move(settings)) {}

  /// \returns The handlers for the server that accepts the connections.
  [[nodiscard]] peer_handlers Handlers();

  /// \brief Sends to an entry if it is connected.
  void Send(incarnation_id entry, const message& body);

  /// \brief Sends a heartbeat to each entry.
  void Beat(const agent_load& load);

  void set_resync(microseconds resync) { settings_.resync = resync; }
  [[nodiscard]] std::size_t size() const { return links_.size(); }

 private:
  struct link {
    peer_connection* connection = nullptr;
    instant compared;  ///< When the settings' versions were sent last.
  };

  void TakeUp(peer_connection& connection);
  void TakeDown(const peer_connection& connection);
  void Take(peer_connection& connection, message body);
  [[nodiscard]] bool TakeSettings(peer_connection& connection, const message& body);
  void Compare(peer_connection& connection, std::uint64_t their_digest);

  options settings_;
  std::unordered_map<incarnation_id, link> links_;
  std::uint64_t beats_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_ENTRY_LINKS_H_
