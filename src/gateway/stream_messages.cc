#include "src/gateway/stream_messages.h"

#include <algorithm>

#include "jacinthspool/impl/overloaded.h"
#include "schema/generated/streams_generated.h"
#include "src/gateway/flatbuffer_codec.h"

namespace jacinthspool {
namespace {

std::uint32_t ToWire(milliseconds time) {
  constexpr std::int64_t kLongest = 24LL * 3600 * 1000;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, kLongest));
}

}  // namespace

std::string EncodeStreamMessage(const stream_message& message) {
  streams::message_value wire;
  std::visit(overloaded{[&](const stream_told& told) {
                          wire.kind = streams::message_kind::tell;
                          wire.stream = told.stream;
                          wire.service = told.origin.service;
                          wire.software = told.origin.software;
                          wire.life_ms = ToWire(told.life);
                        },
                        [&](const stream_asked& asked) {
                          wire.kind = streams::message_kind::ask;
                          wire.question = asked.question;
                          wire.stream = asked.stream;
                          wire.service = asked.service;
                          wire.life_ms = ToWire(asked.within);
                        },
                        [&](const stream_answered& answered) {
                          wire.kind = streams::message_kind::answer;
                          wire.question = answered.question;
                          wire.stream = answered.stream;
                          wire.service = answered.knowledge.origin.service;
                          wire.software = answered.knowledge.origin.software;
                          wire.evidence =
                              static_cast<streams::origin_evidence>(answered.knowledge.evidence);
                          wire.age_ms = ToWire(answered.knowledge.age);
                        }},
             message);
  return EncodeTable<streams::message>(wire);
}

std::optional<stream_message> DecodeStreamMessage(std::string_view bytes) {
  auto decoded = DecodeTable<streams::message>(bytes);
  if (!decoded) {
    return std::nullopt;
  }
  streams::message_value& wire = *decoded;
  stream_origin origin{.service = std::move(wire.service), .software = std::move(wire.software)};
  switch (wire.kind) {
    case streams::message_kind::tell:
      return stream_told{
          .stream = wire.stream, .origin = std::move(origin), .life = milliseconds(wire.life_ms)};
    case streams::message_kind::ask:
      return stream_asked{.question = wire.question,
                          .stream = wire.stream,
                          .service = std::move(origin.service),
                          .within = milliseconds(wire.life_ms)};
    case streams::message_kind::answer:
      if (wire.evidence > streams::origin_evidence::several) {
        return std::nullopt;
      }
      return stream_answered{.question = wire.question,
                             .stream = wire.stream,
                             .knowledge = {.evidence = static_cast<origin_evidence>(wire.evidence),
                                           .origin = std::move(origin),
                                           .age = milliseconds(wire.age_ms)}};
  }
  return std::nullopt;
}

}  // namespace jacinthspool
