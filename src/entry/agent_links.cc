#include "src/entry/agent_links.h"

#include <optional>
#include <utility>

#include "jacinthspool/impl/overloaded.h"

namespace jacinthspool {
namespace {

/// \returns true when the request's exchange with this agent ends with the message.
bool EndsExchange(const message& body) {
  const auto* ack = std::get_if<answer_ack>(&body);
  return std::holds_alternative<grant_release>(body) || (ack != nullptr && ack->whole);
}

}  // namespace

struct agent_links::link {
  std::string backend;  ///< Empty for a first peer.
  std::string address;
  std::unique_ptr<peer_client> client;
  peer_connection* connection = nullptr;
  incarnation_id incarnation = 0;
  instant heard{};
  std::optional<instant> compared;
};

agent_links::agent_links(options settings) : settings_(std::move(settings)) {
  for (const std::string& address : settings_.first_peers) {
    first_peers_.push_back(Open({}, address));
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
          .on_up = [this, self](peer_connection& connection) { TakeUp(*self, connection); },
          .on_message = [this, self](peer_connection& connection,
                                     message body) { Take(*self, connection, std::move(body)); },
          .on_down = [this, self](peer_connection&, const std::string&) { TakeDown(*self); }},
      .connect_timeout = times_.connect_timeout});
  return opened;
}

void agent_links::Follow(const std::map<std::string, std::string>& agents, const timing& times) {
  times_ = times;
  beat_ = settings_.timers.Every(times.heartbeat, [this](instant) { Beat(); });
  if (!agents.empty()) {
    first_peers_.clear();
  }
  wanted_ = agents;
  CloseUnused();
  for (const auto& [backend, address] : agents) {
    if (!agents_.contains(backend)) {
      agents_.emplace(backend, Open(backend, address));
    }
  }
}

/// An agent with a new address is another process: the old connection is of no use.
void agent_links::CloseUnused() {
  for (auto known = agents_.begin(); known != agents_.end();) {
    const auto wanted = wanted_.find(known->first);
    const bool moved = wanted != wanted_.end() && wanted->second != known->second->address;
    const bool kept = wanted != wanted_.end() || settings_.in_use(known->first);
    if (kept && !moved) {
      ++known;
      continue;
    }
    const std::unique_ptr<link> gone = std::move(known->second);
    known = agents_.erase(known);
    TakeDown(*gone);
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
                      .silent = up ? now - known->heard : microseconds::zero()});
  }
  return states;
}

void agent_links::TakeUp(link& from, peer_connection& connection) {
  const peer_identity& peer = connection.peer();
  if (peer.role != "agent" || (!from.backend.empty() && peer.name != from.backend)) {
    connection.Close("expected the agent of " + from.backend + ", found " + peer.role + " " +
                     peer.name);
    return;
  }
  from.connection = &connection;
  from.incarnation = peer.incarnation;
  from.heard = timer_service::now();
  from.compared.reset();
  if (!from.backend.empty()) {
    settings_.on_event(agent_up{.backend = from.backend, .incarnation = peer.incarnation});
  }
}

void agent_links::TakeDown(link& from) {
  if (std::exchange(from.connection, nullptr) != nullptr && !from.backend.empty()) {
    settings_.on_event(agent_down{from.backend});
  }
}

void agent_links::Take(link& from, peer_connection& connection, message body) {
  if (from.connection != &connection) {
    return;
  }
  from.heard = timer_service::now();
  if (TakeSettings(connection, body)) {
    return;
  }
  if (const auto* beat = std::get_if<heartbeat>(&body)) {
    Compare(from, connection, beat->settings_digest);
  }
  if (from.backend.empty()) {
    return;
  }
  const bool over = std::holds_alternative<cancelled>(body);
  const std::optional<request_id> request = RequestOf(body);
  settings_.on_event(agent_message{
      .backend = from.backend, .incarnation = from.incarnation, .body = std::move(body)});
  if (over && from.connection == &connection) {
    connection.Finish(*request);
  }
}

bool agent_links::TakeSettings(peer_connection& connection, const message& body) {
  return std::visit(overloaded{
                        [&](const settings_versions& theirs) {
                          const settings_fetch missing = settings_.store.MissingFrom(theirs);
                          if (!missing.paths.empty()) {
                            connection.Send(missing);
                          }
                          return true;
                        },
                        [&](const settings_fetch& asked) {
                          connection.Send(settings_.store.Documents(asked));
                          return true;
                        },
                        [&](const settings_documents& received) {
                          // In a later turn: new settings may end this very connection.
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

/// Whoever is behind asks for what it lacks, once it has seen the other's versions.
void agent_links::Compare(link& from, peer_connection& connection, std::uint64_t their_digest) {
  const instant now = timer_service::now();
  const bool recent = from.compared.has_value() && now - *from.compared < times_.resync;
  if (their_digest == settings_.store.digest() || recent) {
    return;
  }
  from.compared = now;
  connection.Send(settings_.store.Versions());
}

void agent_links::Beat() {
  CloseUnused();
  heartbeat beat;
  beat.sequence = ++beats_;
  beat.settings_digest = settings_.store.digest();
  const instant now = timer_service::now();
  const auto serve = [&](const std::unique_ptr<link>& known) {
    if (known->connection == nullptr) {
      return;
    }
    if (now - known->heard > times_.lease) {
      known->connection->Close("silent for a lease");
      return;
    }
    known->connection->Send(beat);
  };
  for (const auto& [backend, known] : agents_) {
    serve(known);
  }
  for (const std::unique_ptr<link>& known : first_peers_) {
    serve(known);
  }
}

}  // namespace jacinthspool
