#include "src/transport/datagram_socket.h"

#include <event2/event.h>
#include <event2/util.h>

#include <cerrno>
#include <cstddef>
#include <cstring>
#include <utility>

#include "src/transport/socket_address.h"

namespace jacinthspool {
namespace {

/// Datagrams read before other events get their turn.
constexpr int kMaxBurst = 64;

}  // namespace

struct datagram_socket::state {
  options settings;
  evutil_socket_t socket = -1;
  event* readable = nullptr;

  explicit state(options initial) : settings(std::move(initial)) {}
  ~state() {
    if (readable != nullptr) {
      event_free(readable);
    }
    if (socket >= 0) {
      evutil_closesocket(socket);
    }
  }
  state(const state&) = delete;
  state& operator=(const state&) = delete;

  void Read() const {
    for (int i = 0; i < kMaxBurst; ++i) {
      alignas(std::max_align_t) char bytes[kMaxBytes];  // Decoders read words in place.
      socket_address from;
      socklen_t length = sizeof(from.storage);
      const ssize_t size = recvfrom(socket, bytes, sizeof(bytes), MSG_TRUNC,
                                    reinterpret_cast<sockaddr*>(&from.storage), &length);
      if (size < 0) {
        return;  // Nothing is left; an error of an earlier send is reported here too.
      }
      if (static_cast<std::size_t>(size) <= sizeof(bytes)) {
        const bool v6 = from.storage.ss_family == AF_INET6;
        const std::string host = v6 ? "[" + from.host() + "]" : from.host();
        settings.on_datagram(host + ":" + std::to_string(from.port()),
                             {bytes, static_cast<std::size_t>(size)});
      }
    }
  }

  static void OnReadable(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    static_cast<const state*>(context)->Read();
  }
};

std::unique_ptr<datagram_socket> datagram_socket::Bind(options settings, std::string& error) {
  socket_address address;
  if (!ParseSocketAddress(settings.address, address)) {
    error = "not an address of the form IP:PORT: " + settings.address;
    return nullptr;
  }
  auto bound = std::make_unique<state>(std::move(settings));
  bound->socket = ::socket(address.storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (bound->socket < 0 || evutil_make_socket_nonblocking(bound->socket) != 0 ||
      bind(bound->socket, address.get(), static_cast<socklen_t>(address.length)) != 0) {
    error = "cannot bind " + bound->settings.address + ": " + std::strerror(errno);
    return nullptr;
  }
  bound->readable = event_new(bound->settings.loop.base(), bound->socket, EV_READ | EV_PERSIST,
                              &state::OnReadable, bound.get());
  event_add(bound->readable, nullptr);
  return std::unique_ptr<datagram_socket>(new datagram_socket(std::move(bound)));
}

datagram_socket::datagram_socket(std::unique_ptr<state> initial) : state_(std::move(initial)) {}
datagram_socket::~datagram_socket() = default;

bool datagram_socket::Send(const std::string& to, std::string_view bytes) {
  socket_address target;
  return bytes.size() <= kMaxBytes && ParseSocketAddress(to, target) &&
         sendto(state_->socket, bytes.data(), bytes.size(), 0, target.get(),
                static_cast<socklen_t>(target.length)) == static_cast<ssize_t>(bytes.size());
}

std::uint16_t datagram_socket::port() const { return LocalPort(state_->socket); }

}  // namespace jacinthspool
