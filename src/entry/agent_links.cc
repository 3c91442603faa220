#include "src/entry/agent_links.h"

#include <optional>
#include <utility>

#include "jacinthspool/impl/overloaded.h"

namespace jacinthspool {
namespace {

/// \returns true if the message is the last one to this agent about its request.
bool EndsExchange(const message& body) {
  const auto* ack = std::get_if<answer_ack>(&body);
  return std::holds_alternative<grant_release>(body) || (ack != nullptr && ack->whole);
}

}  // namespace

struct agent_links::link {
  std::string backend;  ///< Empty for a bootstrap peer.
  std::string address;
  std::unique_ptr<peer_client> client;
  peer_connection* connection = nullptr;
  incarnation_id incarnation = 0;
  instant last_heard{};
  std::optional<instant> versions_sent;
};

agent_links::agent_links(options settings) : settings_(std::move(settings)) {
  for (const std::string& address : settings_.bootstrap_peers) {
    bootstrap_peers_.push_back(Open({}, address));
  }
}

agent_links::~agent_links() = default;

std::unique_ptr<agent_links::link> agent_links::Open(const std::string& backend,
                                                     const std::string& address) {
  auto opened = std::make_unique<link>();
  link* const self = opened.get();
  self->backend = backend;
  self->address = address;
  self->client = std::make_unique<peer_client>(peer_client::options{
      .loop = settings_.loop,
      .timers = settings_.timers,
      .keys = settings_.keys,
      .address = address,
      .identity = settings_.identity,
      .handlers = {
          .on_up = [this, self](peer_connection& connection) { OnConnected(*self, connection); },
          .on_message = [this, self](
                            peer_connection& connection,
                            message body) { OnMessage(*self, connection, std::move(body)); },
          .on_down = [this, self](peer_connection&, const std::string&) { OnDisconnected(*self); }},
      .connect_timeout = times_.connect_timeout});
  return opened;
}

void agent_links::SetAgents(const std::map<std::string, std::string>& agents, const timing& times) {
  times_ = times;
  heartbeat_timer_ = settings_.timers.Every(times.heartbeat, [this](instant) { SendHeartbeats(); });
  if (!agents.empty()) {
    bootstrap_peers_.clear();
  }
  wanted_ = agents;
  CloseUnused();
  for (const auto& [backend, address] : agents) {
    if (!agents_.contains(backend)) {
      agents_.emplace(backend, Open(backend, address));
    }
  }
}

/// Closes connections to agents that are no longer listed and that no request uses. An agent whose
/// address has changed is another process, so its old connection is closed at once.
void agent_links::CloseUnused() {
  for (auto known = agents_.begin(); known != agents_.end();) {
    const auto wanted = wanted_.find(known->first);
    const bool moved = wanted != wanted_.end() && wanted->second != known->second->address;
    const bool kept = wanted != wanted_.end() || settings_.in_use(known->first);
    if (kept && !moved) {
      ++known;
      continue;
    }
    const std::unique_ptr<link> closed = std::move(known->second);
    known = agents_.erase(known);
    OnDisconnected(*closed);
  }
}

void agent_links::Send(const std::string& backend, const message& body) {
  const auto found = agents_.find(backend);
  if (found == agents_.end() || found->second->connection == nullptr) {
    return;
  }
  peer_connection& connection = *found->second->connection;
  connection.Send(body);
  if (EndsExchange(body)) {
    connection.Finish(*RequestOf(body));
  }
}

std::vector<agent_links::link_state> agent_links::States() const {
  const instant now = timer_service::now();
  std::vector<link_state> states;
  states.reserve(agents_.size());
  for (const auto& [backend, known] : agents_) {
    const bool up = known->connection != nullptr;
    states.push_back({.backend = backend,
                      .address = known->address,
                      .incarnation = up ? known->incarnation : 0,
                      .silent = up ? now - known->last_heard : microseconds::zero()});
  }
  return states;
}

void agent_links::OnConnected(link& from, peer_connection& connection) {
  const peer_identity& peer = connection.peer();
  if (peer.role != "agent" || (!from.backend.empty() && peer.name != from.backend)) {
    connection.Close("expected the agent of " + from.backend + ", got " + peer.role + " " +
                     peer.name);
    return;
  }
  from.connection = &connection;
  from.incarnation = peer.incarnation;
  from.last_heard = timer_service::now();
  from.versions_sent.reset();
  if (!from.backend.empty()) {
    settings_.on_event(agent_up{.backend = from.backend, .incarnation = peer.incarnation});
  }
}

void agent_links::OnDisconnected(link& from) {
  if (std::exchange(from.connection, nullptr) != nullptr && !from.backend.empty()) {
    settings_.on_event(agent_down{from.backend});
  }
}

void agent_links::OnMessage(link& from, peer_connection& connection, message body) {
  if (from.connection != &connection) {
    return;
  }
  from.last_heard = timer_service::now();
  if (HandleSettingsMessage(connection, body)) {
    return;
  }
  if (const auto* beat = std::get_if<heartbeat>(&body)) {
    CompareSettings(from, connection, beat->settings_digest);
  }
  if (from.backend.empty()) {
    return;
  }
  const bool cancel_confirmed = std::holds_alternative<cancelled>(body);
  const std::optional<request_id> request = RequestOf(body);
  settings_.on_event(agent_message{
      .backend = from.backend, .incarnation = from.incarnation, .body = std::move(body)});
  if (cancel_confirmed && from.connection == &connection) {
    connection.Finish(*request);
  }
}

bool agent_links::HandleSettingsMessage(peer_connection& connection, const message& body) {
  return std::visit(overloaded{
                        [&](const settings_versions& peer_versions) {
                          const settings_fetch missing = settings_.store.MissingFrom(peer_versions);
                          if (!missing.paths.empty()) {
                            connection.Send(missing);
                          }
                          return true;
                        },
                        [&](const settings_fetch& fetch) {
                          connection.Send(settings_.store.Documents(fetch));
                          return true;
                        },
                        [&](const settings_documents& received) {
                          // Posted to the event loop, since new settings may close this connection.
                          settings_.loop.Post([this, received] {
                            for (const auto& document : received.documents) {
                              if (document != nullptr) {
                                settings_.store.Offer(document->path, document->text);
                              }
                            }
                          });
                          return true;
                        },
                        [](const auto&) { return false; },
                    },
                    body);
}

/// Sends the versions of the local settings if the digests differ; the side with older settings
/// then fetches the missing ones.
void agent_links::CompareSettings(link& from, peer_connection& connection,
                                  std::uint64_t peer_digest) {
  const instant now = timer_service::now();
  const bool recent = from.versions_sent.has_value() && now - *from.versions_sent < times_.resync;
  if (peer_digest == settings_.store.digest() || recent) {
    return;
  }
  from.versions_sent = now;
  connection.Send(settings_.store.Versions());
}

void agent_links::SendHeartbeats() {
  CloseUnused();
  heartbeat beat;
  beat.sequence = ++heartbeats_sent_;
  beat.settings_digest = settings_.store.digest();
  const instant now = timer_service::now();
  const auto send_heartbeat = [&](const std::unique_ptr<link>& known) {
    if (known->connection == nullptr) {
      return;
    }
    if (now - known->last_heard > times_.lease) {
      known->connection->Close("no message received within the lease");
      return;
    }
    known->connection->Send(beat);
  };
  for (const auto& [backend, known] : agents_) {
    send_heartbeat(known);
  }
  for (const std::unique_ptr<link>& known : bootstrap_peers_) {
    send_heartbeat(known);
  }
}

}  // namespace jacinthspool
