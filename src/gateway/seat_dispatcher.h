#ifndef JACINTHSPOOL_GATEWAY_SEAT_DISPATCHER_H_
#define JACINTHSPOOL_GATEWAY_SEAT_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/room_reserve.h"
#include "jacinthspool/routing/seat_queue.h"
#include "src/gateway/gateway_context.h"

namespace jacinthspool {

/// \brief Room that a decode engine keeps for one request.
struct decode_seat {
  backend_record backend = {};
  std::string hold = {};  ///< The engine's name for it.
  double tokens = 0;
  instant until{};  ///< The engine frees it then, unless it was used.
};

/// \brief Gets seats in decode engines for the requests that wait for one.
///
/// The engine decides whether it has room, so that no two gateways can give the
/// same room away.
class seat_dispatcher {
 public:
  struct handlers {
    std::function<void(decode_seat)> on_seat;
    std::function<void(std::string_view why)> on_refused;
  };

  explicit seat_dispatcher(gateway_context& context);
  ~seat_dispatcher();

  /// \brief Queues a claim; its handlers may run before this returns.
  /// \returns The number by which it is withdrawn; 0 when it was refused at once.
  std::uint64_t Claim(seat_claim claim, handlers told);

  /// \brief Takes a claim back; its handlers do not run any more.
  void Withdraw(std::uint64_t number);

  /// \brief Gives an unused seat back to its engine.
  void Release(const decode_seat& seat);

  /// \brief A run at this backend server has ended and has freed room.
  void OnRoomFreed(const std::string& backend_id);

  [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

 private:
  class hold_call;
  void Dispatch();
  bool TryNext(instant now);
  void Ask(std::uint64_t number, const backend_record& backend, double tokens, bool probes);
  void OnHoldEnded(hold_call& call, const std::string& hold, bool answered);
  /// \param on_ended Called once the engine has answered, or at once when it is not asked.
  void GiveBack(const backend_record& backend, const std::string& hold,
                std::function<void()> on_ended);
  /// \brief An engine has room to spare: asks it for what the claim needs.
  void OnSpareRoom(const hold_call& call, const std::string& hold);
  [[nodiscard]] double EngineTokens(const std::string& service) const;
  void Tick();
  /// \brief Refuses the claims whose last use has passed.
  void GiveUpExpired();

  gateway_context& context_;
  seat_queue queue_;
  room_reserve reserve_;
  std::map<std::uint64_t, handlers> handlers_ = {};
  std::map<hold_call*, std::shared_ptr<hold_call>> calls_ = {};
  timer_subscription tick_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SEAT_DISPATCHER_H_
