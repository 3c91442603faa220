#ifndef JACINTHSPOOL_AGENT_VM_WATCH_H_
#define JACINTHSPOOL_AGENT_VM_WATCH_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/transport/http_client.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Polls the platform's VM list for whether this VM is draining (state `leaving`).
///
/// The list may lag behind or be unavailable; the last state received stays in
/// force until another one is received.
class vm_watch {
 public:
  struct options {
    timer_service& timers;
    http_client& client;
    std::string address;                         ///< ip:port of the VM list; empty: no polling.
    std::vector<std::string> names;              ///< Names under which this VM may be listed.
    std::function<void(bool leaving)> on_state;  ///< Called after each poll that lists this VM.
  };
  explicit vm_watch(options settings);

 private:
  void Poll();
  void OnListReply(const http_response& response);

  options settings_;
  timer_subscription timer_;
  std::unique_ptr<http_call> call_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_VM_WATCH_H_
