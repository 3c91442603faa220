#ifndef JACINTHSPOOL_SIDECAR_SIDECAR_DAEMON_H_
#define JACINTHSPOOL_SIDECAR_SIDECAR_DAEMON_H_

#include <memory>

#include "src/gateway/gateway_daemon.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Runs a sidecar until its planned stop.
///
/// It is the only process that gives orders to its engine, so that no two can
/// contradict each other. It learns the engines of its service from the
/// gateways and holds nothing that must outlive it.
/// \returns 0 after a planned stop.
int RunSidecar(std::shared_ptr<const process_settings> process, gateway_platform platform);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SIDECAR_SIDECAR_DAEMON_H_
