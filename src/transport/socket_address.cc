#include "src/transport/socket_address.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>

#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

constexpr int kBacklog = 512;

/// \brief Reserved file descriptor, used to reject a connection when no other is available.
class spare_descriptor {
 public:
  spare_descriptor() { Open(); }

  /// \brief Accepts the next connection and closes it.
  void RejectNext(int listener) {
    close(descriptor_);
    const int rejected = accept(listener, nullptr, nullptr);
    if (rejected >= 0) {
      close(rejected);
    }
    Open();
  }

 private:
  void Open() { descriptor_ = open("/dev/null", O_RDONLY | O_CLOEXEC); }

  int descriptor_ = -1;
};

spare_descriptor& Spare() {
  static spare_descriptor spare;
  return spare;
}

/// Without free descriptors accept would fail repeatedly, and the event loop would spin.
void RejectConnection(evconnlistener* listener, void* /*unused*/) {
  const std::string reason = std::strerror(errno);
  Spare().RejectNext(evconnlistener_get_fd(listener));
  Log(log_level::kError, "accept_failed", {{"reason", reason}});
}

bool ParsePort(const std::string& text, std::uint16_t& port) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, port);
  return error == std::errc{} && end == last && !text.empty();
}

}  // namespace

const sockaddr* socket_address::get() const { return reinterpret_cast<const sockaddr*>(&storage); }

std::string socket_address::host() const {
  char text[INET6_ADDRSTRLEN] = {};
  const void* address = nullptr;
  if (storage.ss_family == AF_INET6) {
    address = &reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_addr;
  } else {
    address = &reinterpret_cast<const sockaddr_in*>(&storage)->sin_addr;
  }
  evutil_inet_ntop(storage.ss_family, address, text, sizeof(text));
  return text;
}

std::uint16_t socket_address::port() const {
  if (storage.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

bool ParseSocketAddress(const std::string& text, socket_address& result) {
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos || !ParsePort(text.substr(colon + 1), port)) {
    return false;
  }
  // libevent's parser rejects port 0, so only the host is passed to it.
  socket_address parsed;
  parsed.length = sizeof(parsed.storage);
  auto* target = reinterpret_cast<sockaddr*>(&parsed.storage);
  const std::string host = text.substr(0, colon);
  if (host.empty() || evutil_parse_sockaddr_port(host.c_str(), target, &parsed.length) != 0) {
    return false;
  }
  if (parsed.storage.ss_family == AF_INET6) {
    reinterpret_cast<sockaddr_in6*>(&parsed.storage)->sin6_port = htons(port);
  } else {
    reinterpret_cast<sockaddr_in*>(&parsed.storage)->sin_port = htons(port);
  }
  result = parsed;
  return true;
}

std::uint16_t LocalPort(int socket) {
  socket_address bound;
  socklen_t length = sizeof(bound.storage);
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&bound.storage), &length) != 0) {
    return 0;
  }
  return bound.port();
}

std::string RemoteAddress(int socket) {
  socket_address remote;
  socklen_t length = sizeof(remote.storage);
  if (getpeername(socket, reinterpret_cast<sockaddr*>(&remote.storage), &length) != 0) {
    return {};
  }
  return remote.host() + ":" + std::to_string(remote.port());
}

void DisableDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void listener_deleter::operator()(evconnlistener* listener) const { evconnlistener_free(listener); }

listener_handle ListenOn(event_base* base, const std::string& address, std::string& error) {
  socket_address bound;
  if (!ParseSocketAddress(address, bound)) {
    error = "not an address of the form IP:PORT: " + address;
    return nullptr;
  }
  // On Linux SO_REUSEADDR permits binding over sockets in TIME_WAIT, but not over a listener.
  constexpr unsigned kFlags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  listener_handle listener(
      evconnlistener_new_bind(base, nullptr, nullptr, kFlags, kBacklog, bound.get(), bound.length));
  if (listener == nullptr) {
    error = "cannot listen on " + address + ": " + std::strerror(errno);
    return nullptr;
  }
  (void)Spare();
  evconnlistener_set_error_cb(listener.get(), &RejectConnection);
  // Accepted sockets inherit the option.
  DisableDelay(evconnlistener_get_fd(listener.get()));
  return listener;
}

}  // namespace jacinthspool
