#ifndef JACINTHSPOOL_GATEWAY_GATEWAY_DAEMON_H_
#define JACINTHSPOOL_GATEWAY_GATEWAY_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "src/gateway/discovery.h"
#include "src/gateway/wire_dialect.h"
#include "src/settings/settings.h"
#include "src/transport/event_loop.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Adapters to the platform of a deployment: its wire dialect and its discovery.
struct gateway_platform {
  std::unique_ptr<wire_dialect> dialect;
  /// Creates the source of configuration and backend servers.
  std::function<std::unique_ptr<discovery_source>(const discovery_options&)> open_discovery;
};

/// \brief Runs a gateway until its planned stop.
/// \param process_file Read again on SIGHUP.
/// \returns 0 after a planned stop, 3 when it cannot start.
int RunGateway(std::shared_ptr<const process_settings> process, const std::string& process_file,
               gateway_platform platform);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_GATEWAY_DAEMON_H_
