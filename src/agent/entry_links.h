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

/// \brief Connections from entries, and the exchange of settings over them.
///
/// When an entry reconnects, the new connection replaces the earlier one, and
/// the end of the earlier one is ignored.
class entry_links {
 public:
  struct options {
    settings_store& store;
    std::function<void(agent_event)> on_event;
    microseconds resync = seconds(5);  ///< Minimum time between two exchanges of settings versions.
  };
  explicit entry_links(options settings) : settings_(std::move(settings)) {}

  /// \returns The handlers to register with the server that accepts the connections.
  [[nodiscard]] peer_handlers Handlers();

  /// \brief Sends a message to an entry; does nothing if the entry is not connected.
  void Send(incarnation_id entry, const message& body);

  /// \brief Sends a heartbeat with the agent's load to each connected entry.
  void SendHeartbeats(const agent_load& load);

  void set_resync(microseconds resync) { settings_.resync = resync; }
  [[nodiscard]] std::size_t size() const { return links_.size(); }

 private:
  struct link {
    peer_connection* connection = nullptr;
    instant versions_sent;  ///< When the settings versions were last sent to the entry.
  };

  void OnConnected(peer_connection& connection);
  void OnDisconnected(const peer_connection& connection);
  void OnMessage(peer_connection& connection, message body);
  /// \returns true if the message belongs to the exchange of settings.
  [[nodiscard]] bool HandleSettingsMessage(peer_connection& connection, const message& body);
  /// \brief Sends the versions of the local settings if the entry's digest differs.
  void CompareSettings(peer_connection& connection, std::uint64_t peer_digest);

  options settings_;
  std::unordered_map<incarnation_id, link> links_;
  std::uint64_t heartbeats_sent_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_ENTRY_LINKS_H_
