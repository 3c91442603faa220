#ifndef JACINTHSPOOL_GATEWAY_FLATBUFFER_CODEC_H_
#define JACINTHSPOOL_GATEWAY_FLATBUFFER_CODEC_H_

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthspool {

/// \returns The bytes of a message whose root is a table of the schema.
template <typename table>
std::string EncodeTable(const typename table::NativeTableType& value) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(table::Pack(builder, &value));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// \returns The root of a message, or nothing when the bytes are none.
template <typename table>
std::optional<typename table::NativeTableType> DecodeTable(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (!verifier.VerifyBuffer<table>(nullptr)) {
    return std::nullopt;
  }
  typename table::NativeTableType value;
  flatbuffers::GetRoot<table>(bytes.data())->UnPackTo(&value);
  return value;
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_FLATBUFFER_CODEC_H_
