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

/// \brief The connections to agents: heartbeats, silence, and the exchange of settings.
///
/// The peers of the process settings are asked for settings as long as no
/// pool is known.
class agent_links {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    key_ring& keys;
    settings_store& store;
    peer_identity identity;
    std::vector<std::string> first_peers;
    std::function<void(entry_event)> on_event;
    std::function<bool(const std::string& backend)> in_use;  ///< Requests need the agent.
  };
  struct timing {
    microseconds heartbeat = seconds(1);
    microseconds lease = seconds(4);
    microseconds resync = seconds(5);  ///< Settings are compared at most this often.
    microseconds connect_timeout = seconds(1);
  };
  /// \brief What is known of one connection, for operators.
  struct link_state {
    std::string backend;
    std::string address;
    incarnation_id incarnation = 0;  ///< 0: not connected.
    microseconds silent{};
  };

  explicit agent_links(options settings);
  ~agent_links();

  /// \brief Connects to these agents, given as address by backend server.
  ///
  /// An agent that is no longer among them stays connected until no request
  /// needs it.
  void Follow(const std::map<std::string, std::string>& agents, const timing& times);

  /// \brief Sends to an agent, if it is connected.
  void Send(const std::string& backend, const message& body);

  [[nodiscard]] std::vector<link_state> States() const;

 private:
  struct link;
  [[nodiscard]] std::unique_ptr<link> Open(const std::string& backend, const std::string& address);
  void TakeUp(link& from, peer_connection& connection);
  void TakeDown(link& from);
  void Take(link& from, peer_connection& connection, message body);
  [[nodiscard]] bool TakeSettings(peer_connection& connection, const message& body);
  void Compare(link& from, peer_connection& connection, std::uint64_t their_digest);
  void Beat();
  void CloseUnused();

  options settings_;
  timing times_;
  std::map<std::string, std::string> wanted_;            ///< Address by backend server.
  std::map<std::string, std::unique_ptr<link>> agents_;  ///< By backend server.
  std::vector<std::unique_ptr<link>> first_peers_;
  timer_subscription beat_;
  std::uint64_t beats_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_AGENT_LINKS_H_
