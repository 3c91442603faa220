#ifndef JACINTHSPOOL_GATEWAY_SEND_TRACE_FIELDS_H_
#define JACINTHSPOOL_GATEWAY_SEND_TRACE_FIELDS_H_

#include <nlohmann/json.hpp>

#include "src/transport/http1_client.h"

namespace jacinthspool {

/// \brief Adds how far the bytes of a send got to a log line; -1: that moment did not come.
void AddTrace(nlohmann::json& fields, const send_trace& trace);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SEND_TRACE_FIELDS_H_
