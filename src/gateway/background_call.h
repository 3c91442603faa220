#ifndef JACINTHSPOOL_GATEWAY_BACKGROUND_CALL_H_
#define JACINTHSPOOL_GATEWAY_BACKGROUND_CALL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/transport/event_loop.h"
#include "src/transport/http1_client.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

struct background_call_options {
  event_loop& loop;
  timer_service& timers;
  http1_client& client;
  std::string address;  ///< ip:port
  std::string bytes;
  milliseconds timeout = milliseconds(250);  ///< Cancelled after this time without an answer.
  std::function<void(const http1_head&)> on_head = {};  ///< May be empty.
  std::function<void()> on_ended = {};  ///< When the call has ended or failed; may be empty.
};

/// \brief Calls in progress whose answers no caller waits for.
///
/// Calls that have not ended are cancelled when this is destroyed.
class background_calls {
 public:
  background_calls();
  ~background_calls();
  background_calls(const background_calls&) = delete;
  background_calls& operator=(const background_calls&) = delete;

  void Send(background_call_options settings);

 private:
  class call;
  std::map<call*, std::shared_ptr<call>> running_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_BACKGROUND_CALL_H_
