#ifndef JACINTHSPOOL_GATEWAY_REQUEST_FIELDS_H_
#define JACINTHSPOOL_GATEWAY_REQUEST_FIELDS_H_

#include <nlohmann/json.hpp>

#include "src/gateway/wire_dialect.h"

namespace jacinthspool {

/// \brief Adds what a caller has stated about its request to a log line.
void AddRequest(nlohmann::json& fields, const forward_request& request);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_REQUEST_FIELDS_H_
