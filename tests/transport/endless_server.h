#ifndef JACINTHSPOOL_TESTS_TRANSPORT_ENDLESS_SERVER_H_
#define JACINTHSPOOL_TESTS_TRANSPORT_ENDLESS_SERVER_H_

#include <fcntl.h>

#include <cerrno>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/transport/raw_socket.h"

namespace jacinthspool {

/// \brief A server that never stops sending, on raw sockets.
struct endless_server {
  std::string beginning;
  std::string piece;
  raw_socket listener = raw_socket::Listen();
  std::vector<raw_socket> peers = {};
  std::vector<bool> begun = {};
  std::vector<std::size_t> offsets = {};  ///< Within the current piece, for each peer.
  std::size_t taken = 0;
  std::size_t closed = 0;

  endless_server(std::string the_beginning, std::string the_piece)
      : beginning(std::move(the_beginning)), piece(std::move(the_piece)) {
    fcntl(listener.descriptor(), F_SETFL, O_NONBLOCK);
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(listener.port());
  }
  /// Sends as much as the peers accept.
  void Step() {
    if (raw_socket next = listener.Accept(); next.is_open()) {
      peers.push_back(std::move(next));
      begun.push_back(false);
      offsets.push_back(0);
    }
    for (std::size_t i = 0; i < peers.size(); ++i) {
      std::string request;
      if (!peers[i].is_open()) {
        continue;
      }
      bool open = peers[i].Read(request);
      if (!begun[i] && !request.empty()) {
        peers[i].Write(beginning);
        begun[i] = true;
      }
      for (int pieces = 0; begun[i] && open && pieces < 64; ++pieces) {
        const std::string_view rest = std::string_view{piece}.substr(offsets[i]);
        const ssize_t sent =
            send(peers[i].descriptor(), rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
          open = errno == EAGAIN || errno == EWOULDBLOCK;
          break;
        }
        taken += static_cast<std::size_t>(sent);
        offsets[i] = (offsets[i] + static_cast<std::size_t>(sent)) % piece.size();
      }
      if (!open) {
        peers[i].Close();
        ++closed;
      }
    }
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_TRANSPORT_ENDLESS_SERVER_H_
