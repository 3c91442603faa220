#ifndef JACINTHSPOOL_GATEWAY_PACE_NOTES_H_
#define JACINTHSPOOL_GATEWAY_PACE_NOTES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/engine_pace.h"
#include "src/gateway/gateway_context.h"
#include "src/telemetry/line_limit.h"

namespace jacinthspool {

/// \brief Measures a stream from a decode engine that gives reservations; others are not measured.
void RecordPace(gateway_context& context, stream_pace& stream, const backend_record& server,
                std::optional<std::uint64_t> last_event);

/// \brief Learns from a complete stream what requests of its service take.
/// \param begun Time of its first event.
void LearnOutput(gateway_context& context, const std::string& service, const model_work& work,
                 std::uint64_t tokens, instant begun);

/// \brief Calculates the beliefs anew, and logs those that have changed by half.
void UpdatePaces(gateway_context& context, line_limit& lines);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_PACE_NOTES_H_
