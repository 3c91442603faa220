#include "jacinthspool/impl/ids.h"

#include <charconv>
#include <system_error>

namespace jacinthspool {
namespace {

constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

bool ParseNumber(const char* first, const char* last, int base, std::uint64_t& value) {
  const auto [end, error] = std::from_chars(first, last, value, base);
  return error == std::errc{} && end == last && first != last;
}

}  // namespace

std::string ToString(request_id id) {
  char hex[sizeof(id.incarnation) * 2];
  const auto [end, error] =
      std::to_chars(std::begin(hex), std::end(hex), id.incarnation, kHexadecimal);
  return std::string(hex, end) + "-" + std::to_string(id.counter);
}

bool ParseRequestId(const std::string& text, request_id& id) {
  const std::size_t dash = text.find('-');
  if (dash == std::string::npos) {
    return false;
  }
  const char* begin = text.data();
  request_id parsed;
  if (!ParseNumber(begin, begin + dash, kHexadecimal, parsed.incarnation) ||
      !ParseNumber(begin + dash + 1, begin + text.size(), kDecimal, parsed.counter)) {
    return false;
  }
  id = parsed;
  return true;
}

}  // namespace jacinthspool
