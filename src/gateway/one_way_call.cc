#include "src/gateway/one_way_call.h"

#include <memory>
#include <utility>

namespace jacinthspool {
namespace {

/// Keeps itself until its call has ended.
class one_way_call : public http1_call_listener {
 public:
  one_way_call(event_loop& loop, std::function<void()> on_ended)
      : loop_(loop), on_ended_(std::move(on_ended)) {}

  static void Send(event_loop& loop, http1_client& client, const http1_call_options& options,
                   std::function<void()> on_ended) {
    const auto call = std::make_shared<one_way_call>(loop, std::move(on_ended));
    call->call_ = client.Start(options, *call);
    call->self_ = call;
  }

  head_verdict OnHead(const http1_head& /*head*/) override { return head_verdict::kTake; }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd(call_end /*end*/, const std::string& /*reason*/) override {
    if (on_ended_) {
      on_ended_();
    }
    loop_.Post([kept = std::move(self_)] {});
  }

 private:
  event_loop& loop_;
  std::function<void()> on_ended_;
  std::unique_ptr<http1_call> call_;
  std::shared_ptr<one_way_call> self_;
};

}  // namespace

void SendOneWay(event_loop& loop, http1_client& client, const std::string& address,
                const std::string& bytes, std::function<void()> on_ended) {
  one_way_call::Send(loop, client, {.address = address, .bytes = bytes}, std::move(on_ended));
}

}  // namespace jacinthspool
