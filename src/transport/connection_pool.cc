#include "src/transport/connection_pool.h"

#include <event2/http.h>

#include <utility>

#include "src/transport/socket_address.h"

namespace jacinthspool {
namespace {

/// A server may close a connection that has been idle for longer.
constexpr microseconds kMaxIdle = seconds(5);
constexpr std::size_t kMaxIdlePerAddress = 64;
constexpr ev_ssize_t kMaxHeaderBytes = 64 << 10;

}  // namespace

evhttp_connection_handle connection_pool::Take(const std::string& address) {
  std::vector<idle_connection>& idle = idle_[address];
  if (!idle.empty() && boot_clock::now() - idle.back().since < kMaxIdle) {
    evhttp_connection_handle connection = std::move(idle.back().connection);
    idle.pop_back();
    return connection;
  }
  idle.clear();
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
