#ifndef JACINTHSPOOL_TRANSPORT_CONNECTION_POOL_H_
#define JACINTHSPOOL_TRANSPORT_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "src/transport/event_loop.h"

struct evhttp_connection;

namespace jacinthspool {

/// \brief A client connection; closed when the last owner releases it.
using evhttp_connection_handle = std::shared_ptr<evhttp_connection>;

/// \brief Idle connections of an HTTP client, by remote address.
class connection_pool {
 public:
  explicit connection_pool(event_loop& loop) : loop_(loop) {}

  /// \param address IP:PORT of the server.
  /// \returns An idle connection or a new one; null when `address` is not IP:PORT.
  evhttp_connection_handle Take(const std::string& address);

  /// \brief Returns a connection whose request is complete; closes it if the pool is full.
  void Return(const std::string& address, evhttp_connection_handle connection);

 private:
  struct idle_connection {
    evhttp_connection_handle connection;
    instant since;
  };

  event_loop& loop_;
  std::map<std::string, std::vector<idle_connection>> idle_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_CONNECTION_POOL_H_
