#ifndef JACINTHSPOOL_SETTINGS_NAME_CHECKS_H_
#define JACINTHSPOOL_SETTINGS_NAME_CHECKS_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include "src/settings/document_place.h"

namespace jacinthspool {

/// \brief Whether an address may leave the choice of the port to the system.
enum class port_rule { kGiven, kMayBeZero };

/// \returns true for "ip:port" or "[ip6]:port" with a numeric IP address.
bool IsIpPort(std::string_view text, port_rule rule);

/// \returns true for 1 to 64 of the characters a-z, A-Z, 0-9, '.', '_' and '-', the first not '.'.
bool IsName(std::string_view text);

/// \brief Adds a finding on `member` when `text` is no name.
void CheckName(document_place& place, std::string_view member, std::string_view text);

/// \brief Adds a finding on `member` when `text` is no address.
void CheckAddress(document_place& place, std::string_view member, std::string_view text,
                  port_rule rule = port_rule::kGiven);

/// \brief Adds a finding on `member` when a number is zero.
void CheckNotZero(document_place& place, std::string_view member, std::size_t value);

/// \brief Finds what a list holds twice.
class uniqueness_check {
 public:
  /// \param what Ends the finding: "is already the name of another pool".
  explicit uniqueness_check(std::string what) : what_(std::move(what)) {}

  /// \brief Adds a finding on `member` when `value` was seen before.
  void Add(document_place& place, std::string_view member, const std::string& value);

 private:
  std::string what_;
  std::set<std::string> seen_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_NAME_CHECKS_H_
