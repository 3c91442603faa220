#ifndef JACINTHSPOOL_ROUTING_RATE_STATEMENT_H_
#define JACINTHSPOOL_ROUTING_RATE_STATEMENT_H_

#include <string>
#include <variant>

/// \file
/// \brief What a reply of a backend server states about the request rate that it accepts.

namespace jacinthspool {

/// \brief The reply says nothing about the rate, as it may not come from the intended server.
struct rate_unstated {};
/// \brief The server accepts requests at any rate.
struct rate_unlimited {};
/// \brief The server accepts this rate from all gateways together.
struct rate_limited {
  double per_second = 0;  ///< Finite, at least 0.
};
/// \brief The reply has a limit that is no valid number.
struct rate_unreadable {
  std::string text = {};
};

using rate_statement = std::variant<rate_unstated, rate_unlimited, rate_limited, rate_unreadable>;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_RATE_STATEMENT_H_
