#include "src/agent/entry_links.h"

#include <memory>
#include <string>
#include <utility>

#include "jacinthspool/impl/overloaded.h"
#include "src/telemetry/log.h"

namespace jacinthspool {

peer_handlers entry_links::Handlers() {
  return {.on_up = [this](peer_connection& connection) { TakeUp(connection); },
          .on_message = [this](peer_connection& connection,
                               message body) { Take(connection, std::move(body)); },
          .on_down =
              [this](peer_connection& connection, const std::string& reason) {
                Log(log_level::kInfo, "entry_down",
                    {{"entry", connection.peer().name}, {"reason", reason}});
                TakeDown(connection);
              }};
}

void entry_links::Send(incarnation_id entry, const message& body) {
  const auto position = links_.find(entry);
  if (position != links_.end()) {
    position->second.connection->Send(body);
  }
}

void entry_links::Beat(const agent_load& load) {
  heartbeat beat;
  beat.sequence = ++beats_;
  beat.settings_digest = settings_.store.digest();
  beat.load = std::make_shared<agent_load>(load);
  for (const auto& [entry, connected] : links_) {
    connected.connection->Send(beat);
  }
}

void entry_links::TakeUp(peer_connection& connection) {
  const peer_identity& peer = connection.peer();
  if (peer.role != "entry") {
    connection.Close("only entries connect to agents");
    return;
  }
  Log(log_level::kInfo, "entry_up",
      {{"entry", peer.name}, {"data_centre", peer.data_centre}, {"incarnation", peer.incarnation}});
  links_[peer.incarnation] = {.connection = &connection, .compared = {}};
  settings_.on_event(entry_up{.entry = peer.incarnation, .name = peer.name});
}

void entry_links::TakeDown(const peer_connection& connection) {
  const incarnation_id entry = connection.peer().incarnation;
  const auto position = links_.find(entry);
  if (position == links_.end() || position->second.connection != &connection) {
    return;
  }
  links_.erase(position);
  settings_.on_event(entry_down{.entry = entry});
}

void entry_links::Take(peer_connection& connection, message body) {
  const incarnation_id entry = connection.peer().incarnation;
  const auto position = links_.find(entry);
  if (position == links_.end() || position->second.connection != &connection) {
    return;
  }
  if (const auto* const beat = std::get_if<heartbeat>(&body)) {
    Compare(connection, beat->settings_digest);
  }
  if (TakeSettings(connection, body)) {
    body = heartbeat{};
  }
  settings_.on_event(entry_message{.entry = entry, .body = std::move(body)});
}

bool entry_links::TakeSettings(peer_connection& connection, const message& body) {
  return std::visit(overloaded{[&](const settings_versions& theirs) {
                                 settings_fetch missing = settings_.store.MissingFrom(theirs);
                                 if (!missing.paths.empty()) {
                                   connection.Send(std::move(missing));
                                 }
                                 return true;
                               },
                               [&](const settings_fetch& asked) {
                                 connection.Send(settings_.store.Documents(asked));
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

void entry_links::Compare(peer_connection& connection, std::uint64_t their_digest) {
  const instant now = boot_clock::now();
  link& compared = links_.at(connection.peer().incarnation);
  if (their_digest == settings_.store.digest() || now - compared.compared < settings_.resync) {
    return;
  }
  compared.compared = now;
  connection.Send(settings_.store.Versions());
}

}  // namespace jacinthspool
