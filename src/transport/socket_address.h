#ifndef JACINTHSPOOL_TRANSPORT_SOCKET_ADDRESS_H_
#define JACINTHSPOOL_TRANSPORT_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <memory>
#include <string>

struct evconnlistener;
struct event_base;

namespace jacinthspool {

/// \brief An IP address and port in the form used by the socket functions.
struct socket_address {
  sockaddr_storage storage = {};
  int length = 0;

  [[nodiscard]] const sockaddr* get() const;
  [[nodiscard]] std::string host() const;
  [[nodiscard]] std::uint16_t port() const;
};

/// \brief Parses IP:PORT.
/// \returns true, with `result` set, when `text` is valid.
bool ParseSocketAddress(const std::string& text, socket_address& result);

/// \returns The port to which `socket` is bound; 0 when it is not bound.
std::uint16_t LocalPort(int socket);

/// \returns The remote address of a connected socket as IP:PORT, for logs; empty on failure.
std::string RemoteAddress(int socket);

/// \brief Disables the delay of small writes (TCP_NODELAY).
void DisableDelay(int socket);

struct listener_deleter {
  void operator()(evconnlistener* listener) const;
};
using listener_handle = std::unique_ptr<evconnlistener, listener_deleter>;

/// \brief Binds exclusively to an address and listens on it.
/// \returns The listener; null, with `error` set, when the address is invalid or in use.
listener_handle ListenOn(event_base* base, const std::string& address, std::string& error);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_SOCKET_ADDRESS_H_
