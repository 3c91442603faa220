#ifndef JACINTHSPOOL_ROUTING_SEND_LIMITER_H_
#define JACINTHSPOOL_ROUTING_SEND_LIMITER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/gateway_fleet.h"
#include "jacinthspool/routing/limit_share.h"
#include "jacinthspool/routing/named_limits.h"

namespace jacinthspool {

/// Requests to a decode engine for one reservation: to get it, and to use it.
inline constexpr std::uint32_t kReservedCalls = 2;

/// \brief Keeps this gateway's requests to each backend server within its share of the limit that
/// the server names.
///
/// Each limited server has a token bucket that is filled at the rate of the share.
/// A bucket starts empty, since the gateways may just have sent requests at any
/// rate, and a process does not know what its predecessor sent.
class send_limiter {
 public:
  struct options {
    std::string gateway = {};  ///< Name of this gateway.
    split_strategy split = traffic_split{};
    microseconds window = seconds(4);  ///< Over which sent requests are counted.
  };
  /// \brief State of one limited server, for logs and metrics.
  struct usage {
    std::string backend = {};
    double limit_per_second = 0;
    limit_share share = {};
    std::size_t sent_in_window = 0;
  };

  explicit send_limiter(const options& settings) : settings_(settings) {}

  [[nodiscard]] named_limits& limits() { return limits_; }
  [[nodiscard]] const named_limits& limits() const { return limits_; }
  [[nodiscard]] gateway_fleet& fleet() { return fleet_; }
  [[nodiscard]] const gateway_fleet& fleet() const { return fleet_; }
  [[nodiscard]] const std::string& gateway() const { return settings_.gateway; }

  /// \brief Computes the shares anew, after a change of the limits, the fleet or the servers.
  /// \param backends The published servers; limits of others are kept but have no share.
  void Update(const std::map<std::string, backend_record>& backends, instant now);

  /// \returns true when that many requests may be sent to the server now.
  [[nodiscard]] bool MaySend(const backend_record& backend, std::uint32_t calls, instant now) const;

  /// \returns true when a limit of the server is in force.
  [[nodiscard]] bool limited(const backend_record& backend) const {
    return limits_.Find(backend.id, backend.started_ms).has_value();
  }

  /// \brief Counts requests that are sent, or that will be sent to use a reservation.
  void OnSend(const backend_record& backend, std::uint32_t calls, instant now);

  /// \brief Takes back counted requests that will not be sent after all.
  void OnUnsent(const backend_record& backend, std::uint32_t calls, instant now);

  /// \returns Requests a second that this gateway may send to a limited server.
  [[nodiscard]] double Rate(const backend_record& backend) const;

  /// \returns When that many requests may be sent, or nothing while the share is 0.
  [[nodiscard]] std::optional<instant> ReadyAt(const backend_record& backend, std::uint32_t calls,
                                               instant now) const;

  [[nodiscard]] std::vector<usage> Usage(instant now) const;

 private:
  struct bucket {
    std::uint64_t started_ms = 0;
    double limit_per_second = 0;
    limit_share share = {};
    double tokens = 0;  ///< As of `filled`; below 0 after requests that could not wait.
    instant filled{};
    std::deque<instant> sent = {};  ///< In the window.
  };

  [[nodiscard]] static double Tokens(const bucket& each, instant now);
  [[nodiscard]] const bucket* Find(const backend_record& backend) const;

  options settings_;
  named_limits limits_{{}};
  gateway_fleet fleet_{{}};
  std::map<std::string, bucket> buckets_;  ///< By server.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_SEND_LIMITER_H_
