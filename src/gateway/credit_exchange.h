#ifndef JACINTHSPOOL_GATEWAY_CREDIT_EXCHANGE_H_
#define JACINTHSPOOL_GATEWAY_CREDIT_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/credit_messages.h"
#include "src/transport/event_loop.h"
#include "src/transport/http1_client.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Asks the homes of tenants for credit: one message to each home at a time, which holds
/// all that was asked meanwhile.
class credit_exchange {
 public:
  using on_answer = std::function<void(std::optional<credit_answer>)>;
  struct options {
    event_loop& loop;
    timer_service& timers;
    http1_client& client;
    std::function<credit_member()> describe;               ///< This gateway, as of now.
    std::function<void(const std::string&)> on_contact;    ///< A home has answered.
    std::function<void(const std::string&)> on_no_answer;  ///< Before the asks are told.
  };

  explicit credit_exchange(options settings);
  ~credit_exchange();
  credit_exchange(const credit_exchange&) = delete;
  credit_exchange& operator=(const credit_exchange&) = delete;

  /// \param then Called later, once; with nothing when the home does not answer in time.
  void Ask(const std::string& home, credit_ask ask, on_answer then);
  /// \brief Sends a message without asks, unless another is in progress.
  void Greet(const std::string& home);

 private:
  class message;
  struct pending {
    credit_ask ask;
    on_answer then;
  };
  void Send(const std::string& home);
  void OnEnded(const std::string& home, std::optional<std::vector<credit_answer>> answers);

  options settings_;
  std::map<std::string, std::vector<pending>> waiting_;  ///< By home.
  std::map<std::string, std::unique_ptr<message>> open_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_CREDIT_EXCHANGE_H_
