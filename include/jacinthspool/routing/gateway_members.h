#ifndef JACINTHSPOOL_ROUTING_GATEWAY_MEMBERS_H_
#define JACINTHSPOOL_ROUTING_GATEWAY_MEMBERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Addresses of the gateways, as far as this one knows them.
///
/// Each gateway tells what it has heard itself, and no more, so that nobody is kept alive by
/// hearsay: the configured ones are queried by all, and so know nearly all.
///
/// Load: an address for each gateway, and for each peer its newest list.
class gateway_members {
 public:
  struct options {
    std::string self = {};                ///< ip:port
    std::vector<std::string> seeds = {};  ///< Configured; taken for heard at the start.
    instant started{};
    microseconds forget_after = seconds(30);
    std::size_t most = 1024;  ///< Gateways heard, and of each list.
  };

  explicit gateway_members(options settings);

  /// \brief A gateway at that address has sent a query or an answer.
  void OnContact(const std::string& address, instant now);
  /// \brief A peer has told which gateways it hears.
  void OnList(const std::string& peer, std::vector<std::string> members, instant now);
  /// \brief A peer has told that its list is the one of that digest.
  void OnDigest(const std::string& peer, std::uint64_t digest, instant now);

  /// \returns The gateways that this one hears, in order.
  [[nodiscard]] std::vector<std::string> Heard(instant now) const;
  /// \returns The digest of the newest list of a peer; 0: none.
  [[nodiscard]] std::uint64_t DigestOf(const std::string& peer) const;
  /// \returns All known gateways, this one included, in order.
  [[nodiscard]] std::vector<std::string> All(instant now) const;

  /// \returns A digest above 0 of a list.
  [[nodiscard]] static std::uint64_t Digest(const std::vector<std::string>& members);

 private:
  struct told_list {
    std::vector<std::string> members = {};
    std::uint64_t digest = 0;
    instant told{};
  };

  options settings_;
  std::map<std::string, instant> heard_ = {};    ///< Time of the last contact.
  std::map<std::string, told_list> lists_ = {};  ///< By peer.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_GATEWAY_MEMBERS_H_
