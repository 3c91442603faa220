#include "src/gateway/one_way_call.h"

#include <memory>
#include <utility>

namespace jacinthspool {
namespace {

/// Keeps itself until its call has ended.
class one_way_call : public http1_call_listener {
 public:
  explicit one_way_call(one_way_options settings) : settings_(std::move(settings)) {}

  static void Send(one_way_options settings) {
    const auto call = std::make_shared<one_way_call>(std::move(settings));
    call->call_ = call->settings_.client.Start(
        {.address = call->settings_.address, .bytes = call->settings_.bytes}, *call);
    call->self_ = call;
  }

  head_verdict OnHead(const http1_head& head) override {
    if (settings_.on_head) {
      settings_.on_head(head);
    }
    return head_verdict::kTake;
  }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd(call_end /*end*/, const std::string& /*reason*/) override {
    if (settings_.on_ended) {
      settings_.on_ended();
    }
    settings_.loop.Post([kept = std::move(self_)] {});
  }

 private:
  one_way_options settings_;
  std::unique_ptr<http1_call> call_;
  std::shared_ptr<one_way_call> self_;
};

}  // namespace

void SendOneWay(one_way_options settings) { one_way_call::Send(std::move(settings)); }

}  // namespace jacinthspool
