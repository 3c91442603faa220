#ifndef JACINTHSPOOL_AGENT_JSON_FIELDS_H_
#define JACINTHSPOOL_AGENT_JSON_FIELDS_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

namespace jacinthspool {

/// \returns The parsed JSON, or a discarded value if the text is not valid JSON. Values that are
/// nested more deeply than any that engines and services send are left out.
inline nlohmann::json ParseJson(std::string_view text) {
  constexpr int kMaxDepth = 64;
  return nlohmann::json::parse(
      text.begin(), text.end(),
      [](int depth, nlohmann::json::parse_event_t /*event*/, nlohmann::json& /*value*/) {
        return depth <= kMaxDepth;
      },
      false);
}

/// \returns The member, or a JSON null if `value` is not an object or has no such member.
inline const nlohmann::json& MemberOf(const nlohmann::json& value, const std::string& name) {
  static const nlohmann::json none;
  if (!value.is_object()) {
    return none;
  }
  const auto position = value.find(name);
  return position == value.end() ? none : *position;
}

/// \returns The member, or an empty string if it is not a string.
inline std::string TextOf(const nlohmann::json& value, const std::string& name) {
  const nlohmann::json& member = MemberOf(value, name);
  return member.is_string() ? member.get<std::string>() : std::string();
}

/// \returns The member, or 0 if it is not an unsigned number.
inline std::uint64_t CountOf(const nlohmann::json& value, const std::string& name) {
  const nlohmann::json& member = MemberOf(value, name);
  return member.is_number_unsigned() ? member.get<std::uint64_t>() : 0;
}

/// \returns The member as by `CountOf`, clamped to the largest 32-bit number.
inline std::uint32_t SmallCountOf(const nlohmann::json& value, const std::string& name) {
  constexpr std::uint64_t kLargest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(CountOf(value, name), kLargest));
}

/// \returns JSON text; bytes that are not valid UTF-8 are replaced.
inline std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_JSON_FIELDS_H_
