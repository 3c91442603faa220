#include "src/gateway/send_trace_fields.h"

#include <optional>

namespace jacinthspool {

void AddTrace(nlohmann::json& fields, const send_trace& trace) {
  const auto since_start = [&](const std::optional<instant>& moment) {
    return moment ? (*moment - trace.started) / milliseconds(1) : -1;
  };
  fields["connection"] = trace.connection;
  fields["kept"] = trace.kept;
  fields["connect_ms"] = trace.kept ? 0 : since_start(trace.connected);
  fields["first_byte_ms"] = since_start(trace.first_write);
  fields["last_byte_ms"] = since_start(trace.last_write);
  fields["bytes"] = trace.bytes;
  fields["written"] = trace.written;
}

}  // namespace jacinthspool
