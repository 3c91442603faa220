#include "src/transport/connection_pool.h"

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <utility>

#include "src/transport/socket_address.h"
#include "src/transport/socket_condition.h"

namespace jacinthspool {
namespace {

/// Connections idle for longer are not reused, since the server may be closing them.
constexpr microseconds kMaxIdle = seconds(5);
constexpr std::size_t kMaxIdlePerAddress = 64;
constexpr ev_ssize_t kMaxHeaderBytes = 64 << 10;

/// A request on a connection that the server has closed would fail without
/// showing whether it had run.
bool IsUsable(const evhttp_connection_handle& connection) {
  const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection.get()));
  return socket >= 0 && PollCondition(socket) == socket_condition::kIdle;
}

}  // namespace

evhttp_connection_handle connection_pool::Take(const std::string& address) {
  std::vector<idle_connection>& idle = idle_[address];
  while (!idle.empty()) {
    const idle_connection candidate = std::move(idle.back());
    idle.pop_back();
    if (boot_clock::now() - candidate.since < kMaxIdle && IsUsable(candidate.connection)) {
      return candidate.connection;
    }
  }
  socket_address parsed;
  if (!ParseSocketAddress(address, parsed)) {
    idle_.erase(address);
    return nullptr;
  }
  evhttp_connection* connection =
      evhttp_connection_base_new(loop_.base(), nullptr, parsed.host().c_str(), parsed.port());
  evhttp_connection_set_max_headers_size(connection, kMaxHeaderBytes);
  return {connection, &evhttp_connection_free};
}

void connection_pool::Return(const std::string& address, evhttp_connection_handle connection) {
  std::vector<idle_connection>& idle = idle_[address];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back({.connection = std::move(connection), .since = boot_clock::now()});
  }
}

}  // namespace jacinthspool
