#ifndef JACINTHSPOOL_TRANSPORT_DATAGRAM_SOCKET_H_
#define JACINTHSPOOL_TRANSPORT_DATAGRAM_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/transport/event_loop.h"

namespace jacinthspool {

/// \brief UDP socket for short messages that may be lost.
class datagram_socket {
 public:
  /// Fits the smallest packet of IPv6, so that no message is fragmented.
  static constexpr std::size_t kMaxBytes = 1200;

  struct options {
    event_loop& loop;
    std::string address;  ///< ip:port
    /// \param from ip:port of the sender, which may be forged.
    std::function<void(const std::string& from, std::string_view bytes)> on_datagram;
  };

  /// \returns The socket; null, with `error` set, when the address cannot be bound.
  static std::unique_ptr<datagram_socket> Bind(options settings, std::string& error);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  /// \brief Sends one message; it is lost where the network has no room for it.
  /// \returns false when the address is invalid, the message too long or the kernel refuses it.
  bool Send(const std::string& to, std::string_view bytes);

  [[nodiscard]] std::uint16_t port() const;

 private:
  struct state;
  explicit datagram_socket(std::unique_ptr<state> initial);
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_DATAGRAM_SOCKET_H_
