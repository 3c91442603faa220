#ifndef JACINTHSPOOL_TESTS_TRANSPORT_RAW_SOCKET_H_
#define JACINTHSPOOL_TESTS_TRANSPORT_RAW_SOCKET_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "src/transport/socket_address.h"

namespace jacinthspool {

/// \brief A plain socket, for sending bytes that violate the protocol.
class raw_socket {
 public:
  explicit raw_socket(int descriptor) : descriptor_(descriptor) {}
  raw_socket(raw_socket&& other) noexcept : descriptor_(other.descriptor_) {
    other.descriptor_ = -1;
  }
  raw_socket& operator=(raw_socket&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~raw_socket() { Close(); }

  static raw_socket Connect(std::uint16_t port) {
    return ConnectBy(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), port);
  }

  /// \brief Connects with the segment size of an Ethernet link and a small receive buffer, so that
  /// what is not read stays with the sender.
  static raw_socket ConnectOverSlowLink(std::uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int segment = 1460;
    const int buffer = 8 << 10;
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    return ConnectBy(descriptor, port);
  }

  /// \brief Takes ownership of an unconnected socket and connects it.
  static raw_socket ConnectBy(int descriptor, std::uint16_t port) {
    socket_address target;
    ParseSocketAddress("127.0.0.1:" + std::to_string(port), target);
    if (connect(descriptor, target.get(), static_cast<socklen_t>(target.length)) != 0) {
      close(descriptor);
      return raw_socket(-1);
    }
    return raw_socket(descriptor);
  }

  /// \brief Listens on a free port of 127.0.0.1.
  static raw_socket Listen() {
    socket_address bound;
    ParseSocketAddress("127.0.0.1:0", bound);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    (void)bind(descriptor, bound.get(), static_cast<socklen_t>(bound.length));
    (void)listen(descriptor, 64);
    return raw_socket(descriptor);
  }

  /// \brief Accepts a connection; blocks unless the listener is non-blocking.
  /// \returns The connection; not open when none is pending.
  [[nodiscard]] raw_socket Accept() const {
    return raw_socket(accept(descriptor_, nullptr, nullptr));
  }

  [[nodiscard]] int descriptor() const { return descriptor_; }
  [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
  [[nodiscard]] std::uint16_t port() const { return LocalPort(descriptor_); }

  void Write(std::string_view text) const {
    (void)!send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
  }

  /// \brief Appends the bytes that have arrived to `received`, without blocking.
  /// \returns false once the remote end has closed the connection.
  bool Read(std::string& received) const {
    char bytes[4096];
    const ssize_t length = recv(descriptor_, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (length > 0) {
      received.append(bytes, static_cast<std::size_t>(length));
    }
    return length > 0 || (length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  }

  void Close() {
    if (descriptor_ >= 0) {
      close(descriptor_);
      descriptor_ = -1;
    }
  }

  /// \brief Closes the socket with a TCP reset.
  void Reset() {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    Close();
  }

 private:
  int descriptor_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_TRANSPORT_RAW_SOCKET_H_
