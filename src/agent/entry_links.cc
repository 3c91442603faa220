#include "src/agent/entry_links.h"

#include <memory>
#include <string>
#include <utility>

#include "jacinthspool/impl/overloaded.h"
#include "src/telemetry/log.h"

namespace jacinthspool {

peer_handlers entry_links::Handlers() {
  return {.on_up = [this](peer_connection& connection) { OnConnected(connection); },
          .on_message = [this](peer_connection& connection,
                               message body) { OnMessage(connection, std::move(body)); },
          .on_down =
              [this](peer_connection& connection, const std::string& reason) {
                Log(log_level::kInfo, "entry_down",
                    {{"entry", connection.peer().name}, {"reason", reason}});
                OnDisconnected(connection);
              }};
}

void entry_links::Send(incarnation_id entry, const message& body) {
  const auto position = links_.find(entry);
  if (position != links_.end()) {
    position->second.connection->Send(body);
  }
}

void entry_links::SendHeartbeats(const agent_load& load) {
  heartbeat beat;
  beat.sequence = ++heartbeats_sent_;
  beat.settings_digest = settings_.store.digest();
  beat.load = std::make_shared<agent_load>(load);
  for (const auto& [entry, connected] : links_) {
    connected.connection->Send(beat);
  }
}

void entry_links::OnConnected(peer_connection& connection) {
  const peer_identity& peer = connection.peer();
  if (peer.role != "entry") {
    connection.Close("only entries may connect to an agent");
    return;
  }
  Log(log_level::kInfo, "entry_up",
      {{"entry", peer.name}, {"data_centre", peer.data_centre}, {"incarnation", peer.incarnation}});
  links_[peer.incarnation] = {.connection = &connection, .versions_sent = {}};
  settings_.on_event(entry_up{.entry = peer.incarnation, .name = peer.name});
}

void entry_links::OnDisconnected(const peer_connection& connection) {
  const incarnation_id entry = connection.peer().incarnation;
  const auto position = links_.find(entry);
  if (position == links_.end() || position->second.connection != &connection) {
    return;
  }
  links_.erase(position);
  settings_.on_event(entry_down{.entry = entry});
}

void entry_links::OnMessage(peer_connection& connection, message body) {
  const incarnation_id entry = connection.peer().incarnation;
  const auto position = links_.find(entry);
  if (position == links_.end() || position->second.connection != &connection) {
    return;
  }
  if (const auto* const beat = std::get_if<heartbeat>(&body)) {
    CompareSettings(connection, beat->settings_digest);
  }
  if (HandleSettingsMessage(connection, body)) {
    body = heartbeat{};
  }
  settings_.on_event(entry_message{.entry = entry, .body = std::move(body)});
}

bool entry_links::HandleSettingsMessage(peer_connection& connection, const message& body) {
  return std::visit(overloaded{[&](const settings_versions& peer_versions) {
                                 settings_fetch missing =
                                     settings_.store.MissingFrom(peer_versions);
                                 if (!missing.paths.empty()) {
                                   connection.Send(std::move(missing));
                                 }
                                 return true;
                               },
                               [&](const settings_fetch& fetch) {
                                 connection.Send(settings_.store.Documents(fetch));
                                 return true;
                               },
                               [&](const settings_documents& received) {
                                 for (const auto& document : received.documents) {
                                   if (document != nullptr) {
                                     settings_.store.Offer(document->path, document->text);
                                   }
                                 }
                                 return true;
                               },
                               [](const auto&) { return false; }},
                    body);
}

void entry_links::CompareSettings(peer_connection& connection, std::uint64_t peer_digest) {
  const instant now = boot_clock::now();
  link& peer = links_.at(connection.peer().incarnation);
  if (peer_digest == settings_.store.digest() || now - peer.versions_sent < settings_.resync) {
    return;
  }
  peer.versions_sent = now;
  connection.Send(settings_.store.Versions());
}

}  // namespace jacinthspool
