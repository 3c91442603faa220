#ifndef JACINTHSPOOL_ROUTING_TENANT_CREDIT_H_
#define JACINTHSPOOL_ROUTING_TENANT_CREDIT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jacinthspool/routing/credit_lender.h"

namespace jacinthspool {

/// \brief What decided about a payment.
enum class credit_source {
  kLocal,     ///< Credit lent before.
  kHome,      ///< The tenant's home.
  kRefusal,   ///< An earlier answer of the home.
  kOwnShare,  ///< No home answers: this gateway's part of the limit.
};
[[nodiscard]] std::string_view ToString(credit_source source);

struct credit_paid {
  microseconds wait{};  ///< The request is to be sent after this time.
  credit_source source = credit_source::kLocal;
};
struct credit_rejected {
  microseconds retry_after{};  ///< Spread over the callers that are rejected.
  credit_source source = credit_source::kRefusal;
  microseconds age{};  ///< Of what decided.
};
/// \brief The home has to be asked.
struct credit_needed {
  std::string home;  ///< Address.
  credit_ask ask;
};
using payment = std::variant<credit_paid, credit_rejected, credit_needed>;

/// \brief A gateway's side of the tenants' limits: credit lent by their homes.
///
/// Calls name a limit with the version of the configuration that states it.
class tenant_credit {
 public:
  struct options {
    std::vector<std::string> homes;  ///< Addresses, the same in all gateways.
    std::uint64_t seed = 0;          ///< Differs between gateways.
  };
  /// \brief A tenant's limit, as the configuration of that version states it.
  struct stated_limit {
    std::string tenant;
    tenant_limit limit;
    std::uint64_t version = 0;
  };

  explicit tenant_credit(options settings) : settings_(std::move(settings)) {}

  void SetGateways(std::uint32_t gateways) { gateways_ = gateways; }

  /// \brief Decides about a request at its arrival.
  [[nodiscard]] payment Pay(const stated_limit& of, double price, instant now);
  /// \brief Decides by the home's answer.
  [[nodiscard]] payment OnAnswer(const credit_needed& asked, const credit_answer& answer,
                                 instant now);
  /// \brief The home does not answer; others decide until it does.
  /// \returns true when it did before.
  bool OnNoAnswer(const std::string& home, instant now);
  /// \brief The home has answered, to this or another message.
  /// \returns true when it did not before.
  bool OnContact(const std::string& home) { return down_.erase(home) > 0; }
  /// \brief Decides without the homes, by this gateway's part of the limit.
  [[nodiscard]] payment PayFromOwnShare(const stated_limit& of, double price, instant now);
  /// \brief Gives back the price of a request that did not run.
  void Refund(const std::string& tenant, double price, instant now);
  /// \returns Credit that its home gets back, since nothing used it in time.
  [[nodiscard]] std::vector<credit_needed> TakeUnused(instant now);

  /// \returns The homes that answer; those to whom nothing was sent count.
  [[nodiscard]] std::vector<std::string> Reached() const;

 private:
  struct account {
    stated_limit of = {};
    double lent = 0;  ///< Credit of this gateway.
    instant expires{};
    double demand = 0;  ///< Prices of requests, by exponential decay.
    instant demand_at{};
    double refused_price = 0;  ///< Smallest price that the home has refused.
    instant refused_at{};
    instant refused_until{};
    instant next_return{};  ///< Retry-After times are given out up to here.
    std::uint32_t askers = 1;
    std::vector<credit_bucket> own_share = {};  ///< Empty: never used.
  };
  [[nodiscard]] account& AccountOf(const stated_limit& of, instant now);
  [[nodiscard]] credit_rejected Rejected(account& held, double price, microseconds available,
                                         std::uint32_t askers, instant now);

  options settings_;
  std::uint32_t gateways_ = 1;
  std::map<std::string, instant> down_ = {};  ///< Homes that do not answer.
  std::map<std::string, account> accounts_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_TENANT_CREDIT_H_
