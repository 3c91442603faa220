#include "src/settings/name_checks.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>
#include <system_error>

namespace jacinthspool {
namespace {

constexpr std::size_t kMaxNameLength = 64;

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return port;
}

bool IsIp(std::string_view text) {
  const bool bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
  const std::string host(bracketed ? text.substr(1, text.size() - 2) : text);
  in6_addr storage{};
  return inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), &storage) == 1;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == '-';
}

}  // namespace

bool IsIpPort(std::string_view text, port_rule rule) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  if (!port || (*port == 0 && rule == port_rule::kNonZero)) {
    return false;
  }
  return IsIp(text.substr(0, colon));
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && text.front() != '.' &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

void CheckName(document_place& place, std::string_view member, std::string_view text) {
  if (!IsName(text)) {
    place.Add(member, "must be a name: 1 to " + std::to_string(kMaxNameLength) +
                          " letters, digits, '.', '_' or '-', the first not '.'");
  }
}

void CheckAddress(document_place& place, std::string_view member, std::string_view text,
                  port_rule rule) {
  if (!IsIpPort(text, rule)) {
    place.Add(member, "must be ip:port, not '" + std::string(text) + "'");
  }
}

void CheckNotZero(document_place& place, std::string_view member, std::size_t value) {
  if (value == 0) {
    place.Add(member, "must be 1 or more");
  }
}

void uniqueness_check::Add(document_place& place, std::string_view member,
                           const std::string& value) {
  if (!seen_.insert(value).second) {
    place.Add(member, "'" + value + "' " + what_);
  }
}

}  // namespace jacinthspool
