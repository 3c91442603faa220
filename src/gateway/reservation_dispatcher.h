#ifndef JACINTHSPOOL_GATEWAY_RESERVATION_DISPATCHER_H_
#define JACINTHSPOOL_GATEWAY_RESERVATION_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jacinthspool/routing/admission_queue.h"
#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/memory_headroom.h"
#include "src/gateway/gateway_context.h"
#include "src/gateway/queued_place.h"

namespace jacinthspool {

/// Reason of a rejection, for the log.
inline constexpr std::string_view kNoSeatInTime = "no seat in time";

/// \brief Memory that a decode engine has reserved for one request.
struct decode_reservation {
  backend_record backend = {};
  std::string hold = {};  ///< The engine's id of the reservation.
  double tokens = 0;
  instant until{};  ///< Expires then unless it is used.
};

/// \brief Gets reservations in decode engines for the requests in the admission queue.
///
/// The engine decides whether it has free memory, so that two gateways cannot
/// reserve the same memory.
class reservation_dispatcher {
 public:
  struct handlers {
    std::function<void(decode_reservation)> on_reserved;
    std::function<void(std::string_view why)> on_rejected;
  };

  explicit reservation_dispatcher(gateway_context& context);
  ~reservation_dispatcher();

  /// \returns true when the limits of all decode engines keep the request from a reservation before
  /// its `latest_start`.
  [[nodiscard]] bool IsHopeless(const reservation_request& request, instant now) const;

  /// \returns true when a decode engine has the software version that the request needs, if any.
  [[nodiscard]] bool HasVersion(const reservation_request& request) const;

  /// \brief Enqueues a request; one of its handlers is called in a later loop iteration, unless
  /// its place is destroyed before.
  /// \returns Nothing when no reservation is expected in time; no handler is called then.
  [[nodiscard]] std::optional<queued_place> Enqueue(reservation_request request,
                                                    handlers callbacks);

  /// \returns When the caller of a rejected request may return, or nothing if requests of one
  /// priority and tenant wait.
  [[nodiscard]] std::optional<instant> ReserveReturn(const reservation_request& request,
                                                     instant now) {
    return queue_.ReserveReturn(request, now);
  }

  /// \brief Releases an unused reservation at its engine.
  void Release(const decode_reservation& reservation);

  /// \brief Called when a request at this backend server has ended and freed memory.
  void OnMemoryFreed(const std::string& backend_id);

  [[nodiscard]] std::size_t waiting() const { return handlers_.size(); }

 private:
  class reservation_call;
  void Withdraw(std::uint64_t number);
  void Dispatch();
  bool TryNext(instant now);
  [[nodiscard]] const backend_record* ChooseEngine(const reservation_request& request,
                                                   instant now) const;
  void StartCall(std::uint64_t number, const backend_record& backend, double tokens, bool probes);
  void OnCallEnded(reservation_call& call, const std::string& hold, bool answered);
  /// \brief Releases a reservation, unless its engine is backing off: it expires there.
  /// \param on_ended Called once the engine has answered, or posted to the event loop when no
  /// call is sent; may be empty.
  void ReleaseHold(const backend_record& backend, const std::string& hold,
                   std::function<void()> on_ended);
  /// \brief After a successful probe: releases the probed memory and reserves the size needed.
  void ReserveAfterProbe(const reservation_call& call, const std::string& hold);
  [[nodiscard]] double EngineTokens(const std::string& service) const;
  void Tick();
  /// \brief Rejects the requests whose `latest_start` has passed, and those that others have
  /// displaced and that get no reservation before it, and those whose version no engine has left.
  void RejectExpired();

  gateway_context& context_;
  admission_queue queue_;
  memory_headroom headroom_;
  std::map<std::uint64_t, handlers> handlers_ = {};
  std::map<reservation_call*, std::shared_ptr<reservation_call>> calls_ = {};
  timer_subscription tick_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_RESERVATION_DISPATCHER_H_
