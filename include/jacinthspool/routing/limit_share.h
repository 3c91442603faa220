#ifndef JACINTHSPOOL_ROUTING_LIMIT_SHARE_H_
#define JACINTHSPOOL_ROUTING_LIMIT_SHARE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "jacinthspool/routing/gateway_fleet.h"

/// \file
/// \brief How a fleet of gateways splits the request limit of one backend server.
///
/// The server names the limit for all gateways together, and they have no common
/// state. Each computes its own share from what it knows of the others. The shares
/// add up to `kUsedShare` of the limit, and the bursts to what a window allows
/// beyond it, so that gateways whose knowledge differs for some seconds stay within
/// one and a half times the limit plus five requests, in any four seconds.

namespace jacinthspool {

/// \brief Each gateway gets the same share.
struct equal_split {};
/// \brief Each gateway gets a share by the rate of its callers' requests.
struct traffic_split {
  /// Fraction of the limit that is split equally, for callers that move to another gateway.
  double equal_part = 0.2;
};
using split_strategy = std::variant<equal_split, traffic_split>;

/// \brief One server's limit, and the gateway whose share is computed.
struct limit_split_request {
  std::string gateway = {};
  std::string backend = {};
  std::string service = {};
  double per_second = 0;    ///< Limit of all gateways together.
  std::uint32_t calls = 1;  ///< Requests that the gateway must be able to send at once.
};

/// \brief One gateway's share of a limit.
struct limit_share {
  double per_second = 0;
  double burst = 0;           ///< Requests that may follow each other at once after a pause.
  std::uint32_t senders = 0;  ///< Gateways that send to the server at all.
};

/// \returns The share of `request.gateway`; a rate of 0 when it must not send.
///
/// Where the limit allows less than one request at a time for each gateway, some
/// gateways send and the others do not; rendezvous hashing selects them, so that
/// different servers are served by different gateways.
[[nodiscard]] limit_share ShareOfLimit(const split_strategy& strategy, const gateway_fleet& fleet,
                                       const limit_split_request& request);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_LIMIT_SHARE_H_
