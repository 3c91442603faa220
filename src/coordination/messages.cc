#include "jacinthspool/impl/messages.h"

#include <type_traits>
#include <utility>

namespace flatbuffers {

jacinthspool::wire::duration Pack(const std::chrono::microseconds& value) {
  return jacinthspool::wire::duration(value.count());
}

std::chrono::microseconds UnPack(const jacinthspool::wire::duration& value) {
  return std::chrono::microseconds(value.us());
}

jacinthspool::wire::request_id Pack(const jacinthspool::request_id& value) {
  return {value.incarnation, value.counter};
}

jacinthspool::request_id UnPack(const jacinthspool::wire::request_id& value) {
  return {.incarnation = value.incarnation(), .counter = value.counter()};
}

jacinthspool::wire::grant_id Pack(const jacinthspool::grant_id& value) {
  return {value.incarnation, value.counter};
}

jacinthspool::grant_id UnPack(const jacinthspool::wire::grant_id& value) {
  return {.incarnation = value.incarnation(), .counter = value.counter()};
}

}  // namespace flatbuffers

namespace jacinthspool {
namespace {

template <typename T>
concept has_request = requires(const T& value) {
  { value.request } -> std::convertible_to<request_id>;
};

template <std::size_t Index = 0>
std::optional<message> Unpack(const wire::envelope& envelope) {
  if constexpr (Index < std::variant_size_v<message>) {
    using value_type = std::variant_alternative_t<Index, message>;
    using table_type = typename value_type::TableType;
    if (envelope.body_type() != wire::bodyTraits<table_type>::enum_value) {
      return Unpack<Index + 1>(envelope);
    }
    message value{std::in_place_index<Index>};
    envelope.body_as<table_type>()->UnPackTo(&std::get<Index>(value));
    return value;
  } else {
    return std::nullopt;
  }
}

}  // namespace

std::vector<std::uint8_t> Encode(const message& value) {
  flatbuffers::FlatBufferBuilder builder;
  std::visit(
      [&builder](const auto& body) {
        using table_type = typename std::remove_cvref_t<decltype(body)>::TableType;
        const auto offset = table_type::Pack(builder, &body);
        builder.Finish(wire::Createenvelope(builder, wire::bodyTraits<table_type>::enum_value,
                                            offset.Union()));
      },
      value);
  return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<message> Decode(std::span<const std::uint8_t> bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!wire::VerifyenvelopeBuffer(verifier)) {
    return std::nullopt;
  }
  const wire::envelope* envelope = wire::Getenvelope(bytes.data());
  if (envelope->body() == nullptr) {
    return std::nullopt;
  }
  return Unpack(*envelope);
}

std::optional<request_id> RequestOf(const message& value) {
  return std::visit(
      [](const auto& body) -> std::optional<request_id> {
        if constexpr (has_request<std::remove_cvref_t<decltype(body)>>) {
          return body.request;
        } else {
          return std::nullopt;
        }
      },
      value);
}

std::string_view NameOf(const message& value) {
  return std::visit(
      [](const auto& body) -> std::string_view {
        using table_type = typename std::remove_cvref_t<decltype(body)>::TableType;
        return wire::EnumNamebody(wire::bodyTraits<table_type>::enum_value);
      },
      value);
}

}  // namespace jacinthspool
