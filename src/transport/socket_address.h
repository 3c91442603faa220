#ifndef JACINTHSPOOL_TRANSPORT_SOCKET_ADDRESS_H_
#define JACINTHSPOOL_TRANSPORT_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <memory>
#include <string>

struct evconnlistener;
struct event_base;

namespace jacinthspool {

/// \brief An IP address with its port, as the socket functions take it.
struct socket_address {
  sockaddr_storage storage = {};
  int length = 0;

  [[nodiscard]] const sockaddr* get() const;
  [[nodiscard]] std::string host() const;
  [[nodiscard]] std::uint16_t port() const;
};

/// \returns true and fills `result` when `text` is an IP address, a colon and a port.
bool ParseSocketAddress(const std::string& text, socket_address& result);

/// \returns The port on which `socket` is bound; 0 when it is not.
std::uint16_t LocalPort(int socket);

/// \returns The other end of a connected socket as IP:PORT, for logs.
std::string RemoteAddress(int socket);

/// \brief Sends small writes at once (TCP_NODELAY).
void DisableDelay(int socket);

struct listener_deleter {
  void operator()(evconnlistener* listener) const;
};
using listener_handle = std::unique_ptr<evconnlistener, listener_deleter>;

/// \brief Binds and listens; the port is held by this listener alone.
/// \returns Nothing and fills `error` when the address is not one or is in use.
listener_handle ListenOn(event_base* base, const std::string& address, std::string& error);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_SOCKET_ADDRESS_H_
