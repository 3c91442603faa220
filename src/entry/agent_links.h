#ifndef JACINTHSPOOL_ENTRY_AGENT_LINKS_H_
#define JACINTHSPOOL_ENTRY_AGENT_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jacinthspool/impl/entry_core.h"
#include "src/settings/settings_store.h"
#include "src/transport/event_loop.h"
#include "src/transport/key_ring.h"
#include "src/transport/peer.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Connections to agents: heartbeats, detection of silent agents, and the exchange of
/// settings.
///
/// The peers of the process settings send_heartbeat as bootstrap peers: settings are
/// exchanged with them until a pool is known.
class agent_links {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    key_ring& keys;
    settings_store& store;
    peer_identity identity;
    std::vector<std::string> bootstrap_peers;
    std::function<void(entry_event)> on_event;
    std::function<bool(const std::string& backend)> in_use;  ///< true while requests use the agent.
  };
  struct timing {
    microseconds heartbeat = seconds(1);
    microseconds lease = seconds(4);
    microseconds resync = seconds(5);  ///< Minimum time between two exchanges of settings versions.
    microseconds connect_timeout = seconds(1);
  };
  /// \brief State of one connection, for operators.
  struct link_state {
    std::string backend;
    std::string address;
    incarnation_id incarnation = 0;  ///< 0: not connected.
    microseconds silent{};           ///< Time since the last message; 0 if not connected.
  };

  explicit agent_links(options settings);
  ~agent_links();

  /// \brief Sets the agents to connect to.
  ///
  /// An agent that is no longer listed stays connected until no request uses it.
  /// \param agents Address (ip:port) of each agent, by backend server.
  /// \param times Intervals and time-outs of the connections.
  void SetAgents(const std::map<std::string, std::string>& agents, const timing& times);

  /// \brief Sends a message to an agent; does nothing if the agent is not connected.
  void Send(const std::string& backend, const message& body);

  [[nodiscard]] std::vector<link_state> States() const;

 private:
  struct link;
  [[nodiscard]] std::unique_ptr<link> Open(const std::string& backend, const std::string& address);
  void OnConnected(link& from, peer_connection& connection);
  void OnDisconnected(link& from);
  void OnMessage(link& from, peer_connection& connection, message body);
  /// \returns true if the message belongs to the exchange of settings.
  [[nodiscard]] bool HandleSettingsMessage(peer_connection& connection, const message& body);
  void CompareSettings(link& from, peer_connection& connection, std::uint64_t peer_digest);
  void SendHeartbeats();
  void CloseUnused();

  options settings_;
  timing times_;
  std::map<std::string, std::string> wanted_;            ///< Address by backend server.
  std::map<std::string, std::unique_ptr<link>> agents_;  ///< By backend server.
  std::vector<std::unique_ptr<link>> bootstrap_peers_;
  timer_subscription heartbeat_timer_;
  std::uint64_t heartbeats_sent_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_AGENT_LINKS_H_
