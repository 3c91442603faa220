#include "src/agent/vm_watch.h"

#include <algorithm>
#include <utility>

#include "src/agent/json_fields.h"

namespace jacinthspool {
namespace {

constexpr microseconds kPollInterval = seconds(2);
constexpr microseconds kPollTimeout = seconds(2);
constexpr int kOk = 200;

}  // namespace

vm_watch::vm_watch(options settings) : settings_(std::move(settings)) {
  if (settings_.address.empty()) {
    return;
  }
  timer_ = settings_.timers.Every(kPollInterval, [this](instant) { Poll(); });
  Poll();
}

void vm_watch::Poll() {
  if (call_ != nullptr) {
    return;
  }
  call_ = settings_.client.Fetch(
      {.address = settings_.address, .target = "/vms", .timeout = kPollTimeout},
      {.on_done = [this](const http_response& response) { OnListReply(response); }});
}

void vm_watch::OnListReply(const http_response& response) {
  call_.reset();
  const nlohmann::json answer = ParseJson(response.body);
  const nlohmann::json& vms = MemberOf(answer, "vms");
  if (response.status != kOk || !vms.is_array()) {
    return;
  }
  for (const nlohmann::json& vm : vms) {
    const bool own = std::find(settings_.names.begin(), settings_.names.end(),
                               TextOf(vm, "name")) != settings_.names.end();
    if (own) {
      settings_.on_state(TextOf(vm, "state") == "leaving");
      return;
    }
  }
}

}  // namespace jacinthspool
