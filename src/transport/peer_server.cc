#include <event2/listener.h>

#include <unordered_map>
#include <utility>

#include "src/telemetry/log.h"
#include "src/transport/peer.h"
#include "src/transport/peer_link.h"
#include "src/transport/socket_address.h"

namespace jacinthspool {
struct peer_server::state {
  options settings;
  std::shared_ptr<const peer_handlers> handlers;
  listener_handle listener;
  std::uint16_t port = 0;
  std::unordered_map<peer_link*, std::shared_ptr<peer_link>> links;

  explicit state(options the_settings)
      : settings(std::move(the_settings)),
        handlers(std::make_shared<peer_handlers>(std::move(settings.handlers))) {}
  state(const state&) = delete;
  state& operator=(const state&) = delete;

  ~state() {
    for (const auto& [address, link] : links) {
      link->Abandon();
    }
  }

  void Accept(int socket) {
    const auto link = peer_link::Accept(
        {.loop = settings.loop,
         .timers = settings.timers,
         .keys = settings.keys,
         .identity = settings.identity,
         .handlers = handlers,
         .max_queued_bytes = settings.max_queued_bytes,
         .handshake_timeout = settings.handshake_timeout,
         .on_ended = [this](peer_link& ended, bool, const std::string&) { links.erase(&ended); }},
        socket);
    links.emplace(link.get(), link);
  }

  static void OnAccept(evconnlistener* /*unused*/, evutil_socket_t socket, sockaddr* /*unused*/,
                       int /*unused*/, void* context) {
    static_cast<state*>(context)->Accept(socket);
  }
};

peer_server::peer_server(std::unique_ptr<state> initial) : state_(std::move(initial)) {}
peer_server::~peer_server() = default;

std::unique_ptr<peer_server> peer_server::Listen(options settings, std::string& error) {
  listener_handle listener = ListenOn(settings.loop.base(), settings.address, error);
  if (listener == nullptr) {
    return nullptr;
  }
  auto initial = std::make_unique<state>(std::move(settings));
  initial->port = LocalPort(evconnlistener_get_fd(listener.get()));
  evconnlistener_set_cb(listener.get(), &state::OnAccept, initial.get());
  initial->listener = std::move(listener);
  return std::unique_ptr<peer_server>(new peer_server(std::move(initial)));
}

void peer_server::StopAccepting() { state_->listener.reset(); }

std::uint16_t peer_server::port() const { return state_->port; }

}  // namespace jacinthspool
