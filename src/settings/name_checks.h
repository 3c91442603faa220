#ifndef JACINTHSPOOL_SETTINGS_NAME_CHECKS_H_
#define JACINTHSPOOL_SETTINGS_NAME_CHECKS_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include "src/settings/document_place.h"

namespace jacinthspool {

/// \brief Whether an address may have port 0, which lets the system choose the port.
enum class port_rule { kNonZero, kMayBeZero };

/// \returns true for "ip:port" or "[ip6]:port" with a numeric IP address.
bool IsIpPort(std::string_view text, port_rule rule);

/// \returns true for 1 to 64 of the characters a-z, A-Z, 0-9, '.', '_' and '-', the first not '.'.
bool IsName(std::string_view text);

/// \brief Adds a finding on `member` when `text` is not a valid name.
void CheckName(document_place& place, std::string_view member, std::string_view text);

/// \brief Adds a finding on `member` when `text` is not a valid address.
void CheckAddress(document_place& place, std::string_view member, std::string_view text,
                  port_rule rule = port_rule::kNonZero);

/// \brief Adds a finding on `member` when a number is zero.
void CheckNotZero(document_place& place, std::string_view member, std::size_t value);

/// \brief Finds duplicate values in a list.
class uniqueness_check {
 public:
  /// \param what Text of the finding after the value: "is already the name of another pool".
  explicit uniqueness_check(std::string what) : what_(std::move(what)) {}

  /// \brief Adds a finding on `member` when `value` was seen before.
  void Add(document_place& place, std::string_view member, const std::string& value);

 private:
  std::string what_;
  std::set<std::string> seen_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_NAME_CHECKS_H_
