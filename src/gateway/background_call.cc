#include "src/gateway/background_call.h"

#include <utility>

namespace jacinthspool {

/// One call in progress.
class background_calls::call : public http1_call_listener {
 public:
  call(background_calls& owner, background_call_options settings)
      : owner_(owner), settings_(std::move(settings)) {}

  void Start() {
    call_ = settings_.client.Start({.address = settings_.address, .bytes = settings_.bytes}, *this);
    timeout_ = settings_.timers.After(settings_.timeout, [this](instant /*now*/) {
      call_.reset();
      OnEnd(call_outcome::kLost, "no answer in time");
    });
  }

  head_action OnHead(const http1_head& head) override {
    if (settings_.on_head) {
      settings_.on_head(head);
    }
    return head_action::kAccept;
  }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd(call_outcome /*end*/, const std::string& /*reason*/) override {
    timeout_.Cancel();
    if (settings_.on_ended) {
      settings_.on_ended();
    }
    const auto found = owner_.running_.find(this);
    if (found != owner_.running_.end()) {
      // The call is still on the stack, so it is destroyed by the event loop.
      settings_.loop.Post([kept = std::move(found->second)] {});
      owner_.running_.erase(found);
    }
  }

 private:
  background_calls& owner_;
  background_call_options settings_;
  std::unique_ptr<http1_call> call_;
  timer_subscription timeout_;
};

background_calls::background_calls() = default;
background_calls::~background_calls() = default;

void background_calls::Send(background_call_options settings) {
  const auto started = std::make_shared<call>(*this, std::move(settings));
  running_.emplace(started.get(), started);
  started->Start();
}

}  // namespace jacinthspool
