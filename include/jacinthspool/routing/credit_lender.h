#ifndef JACINTHSPOOL_ROUTING_CREDIT_LENDER_H_
#define JACINTHSPOOL_ROUTING_CREDIT_LENDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/tenants.h"

/// \file
/// \brief What a tenant may still send, counted at its home: the gateway that lends to all others.

namespace jacinthspool {

/// \brief What a tenant may send, in units of its limit; fills at a rate.
class credit_bucket {
 public:
  credit_bucket(double level, instant now) : level_(level), filled_(now) {}

  /// \brief Adds what was earned since the last call, up to the burst.
  void Fill(double per_second, double burst, instant now);
  /// \returns How long the request must wait; nothing when it is not granted.
  /// \remark It may overdraw what is there by its price, so that a large request does not wait for
  /// ever behind small ones. One larger than the burst overdraws by no more than the burst, if the
  /// bucket is full.
  [[nodiscard]] std::optional<microseconds> Take(double price, double per_second, double burst);
  /// \returns Time until `Take` would grant the price, if nothing else is taken.
  [[nodiscard]] microseconds AvailableIn(double price, double per_second, double burst) const;
  /// \brief Adds credit that was not used.
  void Return(double amount) { level_ += amount; }
  [[nodiscard]] double level() const { return level_; }

 private:
  double level_;
  instant filled_;
};

/// \brief A gateway's request for credit.
struct credit_ask {
  std::string tenant = {};
  std::uint64_t version = 0;  ///< Of the configuration that states the limit.
  tenant_limit limit = {};
  double price = 0;     ///< 0: only returns credit.
  double ahead = 0;     ///< For further requests, granted if there is plenty.
  double returned = 0;  ///< Credit lent before that was not used.
};

struct credit_answer {
  bool granted = false;
  double ahead = 0;          ///< Granted for further requests.
  microseconds wait{};       ///< Granted: to be sent after this time. Otherwise: available then.
  std::uint32_t askers = 1;  ///< Gateways that asked for the tenant of late.
};

/// \brief What a gateway states about itself with each message.
struct credit_member {
  std::string name = {};
  std::uint32_t gateways = 1;           ///< That it knows, itself included.
  std::vector<std::string> homes = {};  ///< Addresses of the homes that it reaches.
};

/// \returns The home of a tenant among these, the same for all gateways; empty when there is none.
[[nodiscard]] std::string CreditHomeOf(std::string_view tenant,
                                       const std::vector<std::string>& homes);

/// \brief Lends the credit of the tenants whose home is this gateway.
///
/// Where gateways reach different homes, each lends at the rate times the part of the known
/// gateways that use it.
class credit_lender {
 public:
  /// \param address Of this gateway among the homes.
  explicit credit_lender(std::string address) : address_(std::move(address)) {}

  /// \brief A gateway has sent a message.
  void OnMember(const credit_member& member, instant now);
  [[nodiscard]] credit_answer Lend(const std::string& gateway, const credit_ask& ask, instant now);
  [[nodiscard]] std::size_t tenants() const { return accounts_.size(); }

 private:
  struct account {
    credit_bucket bucket;
    std::uint64_t version = 0;
    tenant_limit limit = {};
    double share = 0;  ///< Of the rate, by the views in force.
    std::map<std::string, instant> askers = {};
  };
  struct heard_member {
    credit_member member;
    instant heard;
    instant since;  ///< It has reached the same homes from then on.
  };
  /// \brief Counts the gateways by the homes that they reach. Time in which others were home, or
  /// none knows who was, earns an account nothing.
  void UpdateViews(instant now);
  [[nodiscard]] double ShareOf(std::string_view tenant) const;
  [[nodiscard]] account& AccountOf(const credit_ask& ask, instant now);

  std::string address_;
  std::map<std::string, heard_member> members_ = {};
  std::map<std::vector<std::string>, double> views_ = {};  ///< Gateways by reached homes.
  std::uint32_t known_ = 1;                                ///< Gateways in all.
  instant views_updated_{};
  std::map<std::string, account> accounts_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CREDIT_LENDER_H_
