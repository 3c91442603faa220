#ifndef JACINTHSPOOL_AGENT_VM_WATCH_H_
#define JACINTHSPOOL_AGENT_VM_WATCH_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/transport/http_client.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Asks the platform's list whether this VM is leaving.
///
/// The list lags and may be down; what it said last stands until it says otherwise.
class vm_watch {
 public:
  struct options {
    timer_service& timers;
    http_client& client;
    std::string address;             ///< ip:port; empty: there is no list.
    std::vector<std::string> names;  ///< The names that mean this VM.
    std::function<void(bool leaving)> on_state;
  };
  explicit vm_watch(options settings);

 private:
  void Ask();
  void TakeList(const http_response& response);

  options settings_;
  timer_subscription timer_;
  std::unique_ptr<http_call> call_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_VM_WATCH_H_
