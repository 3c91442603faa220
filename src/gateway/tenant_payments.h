#ifndef JACINTHSPOOL_GATEWAY_TENANT_PAYMENTS_H_
#define JACINTHSPOOL_GATEWAY_TENANT_PAYMENTS_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/routing/credit_lender.h"
#include "jacinthspool/routing/tenant_credit.h"
#include "src/gateway/credit_exchange.h"
#include "src/gateway/gateway_context.h"
#include "src/telemetry/bounded_labels.h"
#include "src/transport/http1_server.h"

namespace jacinthspool {

/// \brief Takes the price of requests from the limits of their tenants, and lends to other gateways
/// the credit of the tenants whose home is this one.
class tenant_payments {
 public:
  tenant_payments(gateway_context& context, std::string name);
  ~tenant_payments();
  tenant_payments(const tenant_payments&) = delete;
  tenant_payments& operator=(const tenant_payments&) = delete;

  /// \brief Sets the addresses of the homes, the same in all gateways; before, this gateway is
  /// alone. \param listen Of this gateway, which may be one of them.
  void SetHomes(const std::string& listen, std::vector<std::string> homes);
  /// \param gateways For the part of a limit that this gateway may use without any home; a new
  /// process assumes many.
  void SetGateways(std::uint32_t gateways) { credit_.SetGateways(std::max(gateways, 1U)); }
  /// \param counted Gateways that are known, for the homes.
  void SetCounted(std::uint32_t counted) { counted_ = std::max(counted, 1U); }

  /// \brief A request that is to be paid for.
  struct request {
    std::string id;
    caller_identity caller;
    instant arrived{};
  };
  /// \brief Pays, or rejects the request with 429. One whose caller leaves meanwhile is dropped.
  /// \param then Called once when the price is paid, at once or within a few hundred milliseconds.
  void Pay(request paying, http1_responder answer, std::function<void(http1_responder)> then);
  /// \brief Gives back the price of a request that did not run.
  void Refund(const caller_identity& caller);

  /// \brief Answers another gateway that asks for credit.
  void Answer(const http1_request& question, http1_responder answer);
  /// \returns Requests whose credit has not arrived.
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

 private:
  struct waiting_request {
    request paying;
    tenant_credit::stated_limit of;
    http1_responder answer;
    std::function<void(http1_responder)> then;
    timer_subscription delay = {};
  };
  [[nodiscard]] credit_member Describe() const;
  void Ask(std::uint64_t id, const credit_needed& needed);
  void Apply(std::uint64_t id, payment decided);
  /// \brief Applies it unless the caller has left.
  void Complete(std::uint64_t id);
  void Reject(waiting_request rejected, const credit_rejected& why);
  void OnNoAnswer(const std::string& home);
  /// \brief Sends every home a message, and returns credit that was not used.
  void Exchange(instant now);
  void GreetAll();
  /// \returns true while some tenant has a limit.
  [[nodiscard]] bool UpdateLimited();

  gateway_context& context_;
  std::string name_;
  std::string address_;             ///< Of this gateway among the homes.
  std::vector<std::string> homes_;  ///< The others.
  std::uint32_t counted_ = 1;       ///< Gateways that are known.
  credit_lender lender_;
  tenant_credit credit_;
  credit_exchange exchange_;
  std::map<std::uint64_t, waiting_request> waiting_ = {};
  std::uint64_t next_id_ = 0;
  bounded_labels labels_{{.most = 64, .rest = "(others)"}};  ///< Of tenants.
  std::shared_ptr<const forward_configuration> checked_ = nullptr;
  bool limited_ = false;
  timer_subscription exchanges_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_TENANT_PAYMENTS_H_
