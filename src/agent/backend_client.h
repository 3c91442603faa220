#ifndef JACINTHSPOOL_AGENT_BACKEND_CLIENT_H_
#define JACINTHSPOOL_AGENT_BACKEND_CLIENT_H_

#include <memory>
#include <variant>

#include "src/agent/engine_client.h"
#include "src/agent/service_client.h"

namespace jacinthspool {

/// \brief Client of the backend server: a model engine or a plain service.
using backend_client =
    std::variant<std::unique_ptr<engine_client>, std::unique_ptr<service_client>>;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_BACKEND_CLIENT_H_
