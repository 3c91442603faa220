#ifndef JACINTHSPOOL_ROUTING_STAGE_ORDERS_H_
#define JACINTHSPOOL_ROUTING_STAGE_ORDERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/store_position.h"

namespace jacinthspool {

/// \brief What the publisher states about one server in answer to a read.
struct current_record {
  std::optional<backend_record> record = {};  ///< Nothing: there is none, or it cannot be used.
  store_position at = {};                     ///< Position of the publisher at the read.
};

/// \brief An order to an engine to change its stage.
struct stage_order {
  std::string backend = {};
  std::string address = {};  ///< ip:port
  engine_stage stage = engine_stage::kNone;
  std::uint64_t fence = 0;  ///< Fencing token; never lower than that of an earlier order.
};

/// \brief No order may be sent now.
struct order_withheld {
  std::string_view reason = {};
};

using order_decision = std::variant<stage_order, order_withheld>;

/// \brief Decides when an engine gets an order, and with which fencing token.
///
/// The token is the position of the publisher at a read that this process asked for. The
/// publisher's position never decreases, whichever process reads it and through whichever gateway,
/// so neither a restart of this process nor gateways whose lists differ in age lead to a lower
/// token. Without such a read there is no order.
///
/// \code
/// if (orders.MayAsk(now)) AskForRecord(planned.id);  // and, with the answer:
/// std::visit(handler, orders.Decide(planned, wanted, answer, now));
/// \endcode
class stage_orders {
 public:
  struct options {
    /// Least time between two orders; an engine needs seconds to execute one.
    microseconds interval = seconds(20);
    /// No order is sent for this time after the start: one that the process before has sent may
    /// not have arrived yet.
    microseconds rest_after_start = seconds(3);
  };

  stage_orders(const options& settings, instant begun)
      : settings_(settings), next_order_(begun + settings.rest_after_start) {}

  /// \returns true when an order could be sent now, so that the record may be read for it.
  [[nodiscard]] bool MayAsk(instant now) const { return now >= next_order_; }

  /// \brief Decides with the record as it was read; an order counts as sent.
  /// \param planned The record that led to the plan.
  /// \param wanted The stage that the engine should change to.
  [[nodiscard]] order_decision Decide(const backend_record& planned, engine_stage wanted,
                                      const current_record& current, instant now);

 private:
  options settings_;
  instant next_order_;
  store_position last_read_;  ///< Of the newest order.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_STAGE_ORDERS_H_
