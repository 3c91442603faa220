#include "src/settings/json_document.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/settings/document_place.h"

namespace jacinthspool {
namespace {

constexpr std::size_t kMaxDepth = 32;

struct text_position {
  std::size_t line = 1;
  std::size_t column = 1;
};

text_position PositionOf(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, std::min(offset, text.size()));
  const std::size_t line_start = before.rfind('\n');
  text_position position;
  position.line += static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
  position.column =
      line_start == std::string_view::npos ? before.size() : before.size() - line_start - 1;
  return position;
}

/// Finds syntax errors and duplicate keys without building the document.
class syntax_checker : public nlohmann::json_sax<nlohmann::json> {
 public:
  syntax_checker(std::string_view text, std::string_view place, findings& found)
      : text_(text), place_(place, found) {}

  bool null() override { return Value(); }
  bool boolean(bool /*value*/) override { return Value(); }
  bool number_integer(number_integer_t /*value*/) override { return Value(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return Value(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return Value(); }
  bool string(string_t& /*value*/) override { return Value(); }
  bool binary(binary_t& /*value*/) override { return Value(); }

  bool start_object(std::size_t /*elements*/) override { return Open(false); }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t /*elements*/) override { return Open(true); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    place_.Pop();
    place_.Push(name);
    if (!keys_.back().insert(name).second) {
      place_.Add("is given twice");
    }
    return true;
  }

  bool parse_error(std::size_t position, const std::string& /*last_token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    const text_position at = PositionOf(text_, position);
    place_.AddAtRoot("is not JSON: line " + std::to_string(at.line) + ", column " +
                     std::to_string(at.column));
    return false;
  }

 private:
  bool Value() {
    place_.NextElement();
    return true;
  }

  bool Open(bool array) {
    if (keys_.size() == kMaxDepth) {
      place_.AddAtRoot("is nested deeper than " + std::to_string(kMaxDepth) + " levels");
      return false;
    }
    keys_.emplace_back();
    if (array) {
      place_.Push(std::size_t{0});
    } else {
      place_.Push(std::string());
    }
    return true;
  }

  bool Close() {
    keys_.pop_back();
    place_.Pop();
    return Value();
  }

  std::string_view text_;
  document_place place_;
  std::vector<std::set<std::string>> keys_;
};

}  // namespace

std::optional<nlohmann::json> ParseJson(std::string_view text, std::string_view place,
                                        std::size_t max_bytes, findings& found) {
  if (text.size() > max_bytes) {
    found.push_back({.place = std::string(place),
                     .text = "is larger than " + std::to_string(max_bytes) + " bytes"});
    return std::nullopt;
  }
  const std::size_t before = found.size();
  syntax_checker checker(text, place, found);
  const bool well_formed =
      nlohmann::json::sax_parse(text, &checker, nlohmann::json::input_format_t::json,
                                /*strict=*/true, /*ignore_comments=*/true);
  if (!well_formed || found.size() != before) {
    return std::nullopt;
  }
  return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false, /*ignore_comments=*/true);
}

}  // namespace jacinthspool
