#include "src/settings/schema_reader.h"

#include <flatbuffers/reflection.h>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <limits>
#include <numeric>
#include <vector>

#include "jacinthspool/impl/whole_number.h"
#include "schema/generated/settings_bfbs_generated.h"
#include "src/settings/document_place.h"

namespace jacinthspool {
namespace {

using reflection::BaseType;

constexpr std::string_view kNamespace = "jacinthspool.config.";
constexpr std::size_t kMaxSuggestionDistance = 3;

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

const reflection::Schema& Schema() {
  return *reflection::GetSchema(config::process_settingsBinarySchema::data());
}

std::uint64_t LargestOf(BaseType type) {
  switch (type) {
    case BaseType::UByte:
      return std::numeric_limits<std::uint8_t>::max();
    case BaseType::UShort:
      return std::numeric_limits<std::uint16_t>::max();
    case BaseType::UInt:
      return std::numeric_limits<std::uint32_t>::max();
    default:
      return std::numeric_limits<std::uint64_t>::max();
  }
}

std::optional<std::uint64_t> WholeValue(const nlohmann::json& value) {
  if (value.is_number_unsigned()) {
    return value.get<std::uint64_t>();
  }
  return value.is_number_float() ? WholeNumber(value.get<double>()) : std::nullopt;
}

/// One member of a table: the bits of a scalar, or the offset of a value that was encoded first.
struct encoded_member {
  const reflection::Field* field;
  std::uint64_t bits;
};

class schema_reader {
 public:
  schema_reader(std::string_view place, findings& found) : found_(found), place_(place, found) {}

  /// \returns Nothing when there was any fault.
  std::optional<flatbuffers::DetachedBuffer> Encode(const nlohmann::json& value,
                                                    const reflection::Object& table) {
    const std::size_t before = found_.size();
    const flatbuffers::Offset<flatbuffers::Table> root(ReadTable(value, table));
    if (found_.size() != before) {
      return std::nullopt;
    }
    builder_.Finish(root);
    return builder_.Release();
  }

 private:
  flatbuffers::uoffset_t ReadTable(const nlohmann::json& value, const reflection::Object& table) {
    if (!value.is_object()) {
      ReportWrongType("an object", value);
      return 0;
    }
    std::vector<encoded_member> members;
    for (const auto& [key, member] : value.items()) {
      const place_scope scope(place_, key);
      const reflection::Field* field = table.fields()->LookupByKey(key.c_str());
      if (field == nullptr || field->name()->string_view() != key) {
        place_.Add("is not a known setting" + Suggestion(key, FieldNames(table)));
      } else {
        members.push_back({field, ReadMember(member, *field)});
      }
    }
    ReportMissing(value, table);
    return WriteTable(members);
  }

  std::uint64_t ReadMember(const nlohmann::json& value, const reflection::Field& field) {
    const reflection::Type& type = *field.type();
    switch (type.base_type()) {
      case BaseType::String:
        return ReadString(value);
      case BaseType::Obj:
        return ReadTable(value, *Schema().objects()->Get(type.index()));
      case BaseType::Vector:
        return ReadList(value, type);
      default:
        return ReadScalar(value, type);
    }
  }

  std::uint64_t ReadScalar(const nlohmann::json& value, const reflection::Type& type) {
    if (type.index() >= 0) {
      return ReadEnumerator(value, *Schema().enums()->Get(type.index()));
    }
    if (type.base_type() == BaseType::Bool) {
      if (!value.is_boolean()) {
        ReportWrongType("true or false", value);
        return 0;
      }
      return value.get<bool>() ? 1 : 0;
    }
    if (type.base_type() == BaseType::Double) {
      if (!value.is_number()) {
        ReportWrongType("a number", value);
        return 0;
      }
      return std::bit_cast<std::uint64_t>(value.get<double>());
    }
    if (value.is_number() && value.get<double>() < 0) {
      place_.Add("must not be negative");
      return 0;
    }
    const std::optional<std::uint64_t> whole = WholeValue(value);
    if (!whole) {
      ReportWrongType("a whole number", value);
      return 0;
    }
    const std::uint64_t number = *whole;
    const std::uint64_t largest = LargestOf(type.base_type());
    if (number > largest) {
      place_.Add("is out of range: " + std::to_string(number) + ", at most " +
                 std::to_string(largest));
      return 0;
    }
    return number;
  }

  std::uint64_t ReadEnumerator(const nlohmann::json& value, const reflection::Enum& type) {
    std::vector<std::string> names;
    for (const reflection::EnumVal* enumerator : *type.values()) {
      names.push_back(enumerator->name()->str());
      if (value.is_string() && value.get_ref<const std::string&>() == names.back()) {
        return static_cast<std::uint64_t>(enumerator->value());
      }
    }
    std::string text = "must be one of";
    for (const std::string& name : names) {
      text += " '" + name + "'";
    }
    if (value.is_string()) {
      const auto& given = value.get_ref<const std::string&>();
      text += ", not '" + given + "'" + Suggestion(given, names);
    }
    place_.Add(std::move(text));
    return 0;
  }

  flatbuffers::uoffset_t ReadString(const nlohmann::json& value) {
    if (!value.is_string()) {
      ReportWrongType("a string", value);
      return 0;
    }
    return builder_.CreateString(value.get_ref<const std::string&>()).o;
  }

  flatbuffers::uoffset_t ReadList(const nlohmann::json& value, const reflection::Type& type) {
    if (!value.is_array()) {
      ReportWrongType("a list", value);
      return 0;
    }
    std::vector<flatbuffers::Offset<void>> elements;
    elements.reserve(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) {
      const place_scope scope(place_, i);
      elements.emplace_back(type.element() == BaseType::String
                                ? ReadString(value[i])
                                : ReadTable(value[i], *Schema().objects()->Get(type.index())));
    }
    if (HasFault(elements)) {
      return 0;
    }
    return builder_.CreateVector(elements).o;
  }

  /// An element with a fault has a null offset, which a vector must not contain.
  static bool HasFault(const std::vector<flatbuffers::Offset<void>>& elements) {
    return std::any_of(elements.begin(), elements.end(),
                       [](flatbuffers::Offset<void> element) { return element.IsNull(); });
  }

  flatbuffers::uoffset_t WriteTable(const std::vector<encoded_member>& members) {
    const flatbuffers::uoffset_t start = builder_.StartTable();
    for (const encoded_member& member : members) {
      WriteMember(*member.field, member.bits);
    }
    return builder_.EndTable(start);
  }

  void WriteMember(const reflection::Field& field, std::uint64_t bits) {
    const flatbuffers::voffset_t slot = field.offset();
    switch (field.type()->base_type()) {
      case BaseType::Bool:
      case BaseType::UByte:
        builder_.AddElement(slot, static_cast<std::uint8_t>(bits));
        break;
      case BaseType::UShort:
        builder_.AddElement(slot, static_cast<std::uint16_t>(bits));
        break;
      case BaseType::UInt:
        builder_.AddElement(slot, static_cast<std::uint32_t>(bits));
        break;
      case BaseType::ULong:
        builder_.AddElement(slot, bits);
        break;
      case BaseType::Double:
        builder_.AddElement(slot, std::bit_cast<double>(bits));
        break;
      default:
        builder_.AddOffset(slot,
                           flatbuffers::Offset<void>(static_cast<flatbuffers::uoffset_t>(bits)));
    }
  }

  void ReportMissing(const nlohmann::json& value, const reflection::Object& table) {
    for (const reflection::Field* field : *table.fields()) {
      if (field->required() && !value.contains(field->name()->c_str())) {
        place_.Add(field->name()->string_view(), "is missing");
      }
    }
  }

  static std::vector<std::string> FieldNames(const reflection::Object& table) {
    std::vector<std::string> names;
    for (const reflection::Field* field : *table.fields()) {
      names.push_back(field->name()->str());
    }
    return names;
  }

  void ReportWrongType(std::string_view wanted, const nlohmann::json& value) {
    place_.Add("must be " + std::string(wanted) + ", not " + value.type_name());
  }

  findings& found_;
  document_place place_;
  flatbuffers::FlatBufferBuilder builder_;
};

}  // namespace

std::string Suggestion(std::string_view name, const std::vector<std::string>& candidates) {
  const std::string* nearest = nullptr;
  std::size_t nearest_distance = std::min(kMaxSuggestionDistance, name.size() / 2) + 1;
  for (const std::string& candidate : candidates) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance < nearest_distance) {
      nearest_distance = distance;
      nearest = &candidate;
    }
  }
  return nearest == nullptr ? std::string() : " (did you mean '" + *nearest + "'?)";
}

std::optional<flatbuffers::DetachedBuffer> EncodeBySchema(const nlohmann::json& value,
                                                          std::string_view table,
                                                          std::string_view place, findings& found) {
  const std::string full_name = std::string(kNamespace) + std::string(table);
  const reflection::Object* type = Schema().objects()->LookupByKey(full_name.c_str());
  return schema_reader(place, found).Encode(value, *type);
}

}  // namespace jacinthspool
