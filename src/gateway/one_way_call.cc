#include "src/gateway/one_way_call.h"

#include <memory>
#include <utility>

namespace jacinthspool {
namespace {

/// Keeps itself until its call has ended.
class one_way_call : public http1_call_listener {
 public:
  explicit one_way_call(event_loop& loop) : loop_(loop) {}

  static void Send(event_loop& loop, http1_client& client, const http1_call_options& options) {
    const auto call = std::make_shared<one_way_call>(loop);
    call->call_ = client.Start(options, *call);
    call->self_ = call;
  }

  head_verdict OnHead(const http1_head& /*head*/) override { return head_verdict::kTake; }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd(call_end /*end*/, const std::string& /*reason*/) override {
    loop_.Post([kept = std::move(self_)] {});
  }

 private:
  event_loop& loop_;
  std::unique_ptr<http1_call> call_;
  std::shared_ptr<one_way_call> self_;
};

}  // namespace

void SendOneWay(event_loop& loop, http1_client& client, const std::string& address,
                const std::string& bytes) {
  one_way_call::Send(loop, client, {.address = address, .bytes = bytes});
}

}  // namespace jacinthspool
