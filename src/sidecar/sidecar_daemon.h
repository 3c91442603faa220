#ifndef JACINTHSPOOL_SIDECAR_SIDECAR_DAEMON_H_
#define JACINTHSPOOL_SIDECAR_SIDECAR_DAEMON_H_

#include <memory>

#include "src/gateway/gateway_daemon.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Runs a sidecar until its planned stop.
///
/// It is the only process that sends orders to its engine, so orders cannot
/// conflict. It reads the engines of its service from snapshots of the gateways
/// and has no state that must survive a restart.
/// \returns 0 after a planned stop.
int RunSidecar(std::shared_ptr<const process_settings> process, gateway_platform platform);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SIDECAR_SIDECAR_DAEMON_H_
