#include "src/gateway/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

constexpr std::string_view kPath = "/jacinthspool/snapshot";
constexpr std::string_view kNameHeader = "X-Jacinthspool-Gateway";
/// Between two questions while the publisher answers.
constexpr milliseconds kCalmPeriod = milliseconds(2000);
/// Between two rounds of questions to all peers while it does not.
constexpr milliseconds kLostPeriod = milliseconds(400);
constexpr milliseconds kAnswerTimeout = milliseconds(600);
/// A gateway that has not asked for this long is not counted.
constexpr milliseconds kForgetAfter = seconds(10);

constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

/// One question to one peer.
class peer_exchange::question : public http1_call_listener {
 public:
  question(peer_exchange& owner, std::string address)
      : owner_(owner), address_(std::move(address)) {
    const std::string bytes = "GET " + std::string(kPath) + " HTTP/1.1\r\nHost: " + address_ +
                              "\r\n" + std::string(kNameHeader) + ": " + owner.settings_.name +
                              "\r\n\r\n";
    call_ = owner.settings_.client.Start(
        {.address = address_, .bytes = bytes, .connect_timeout = kAnswerTimeout}, *this);
    timeout_ = owner.settings_.timers.After(
        kAnswerTimeout, [this](instant /*now*/) { OnEnd(call_end::kLost, "no answer in time"); });
  }

  head_verdict OnHead(const http1_head& head) override {
    status_ = head.status;
    return head_verdict::kTake;
  }
  void OnBody(std::string_view bytes) override { body_ += bytes; }
  void OnEnd(call_end end, const std::string& reason) override {
    if (end == call_end::kWhole && status_ == kOk) {
      if (auto snapshot = DecodeSnapshot(body_)) {
        owner_.told_gateways_[address_] = snapshot->gateways;
        owner_.settings_.owner.TakeSnapshot(std::move(*snapshot));
      } else {
        Log(log_level::kWarning, "snapshot_unreadable", {{"peer", address_}});
      }
    } else {
      Log(log_level::kDebug, "peer_unreachable", {{"peer", address_}, {"reason", reason}});
    }
    // Destroys this in a later turn, since this may run inside the call.
    owner_.settings_.loop.Post([&owner = owner_, address = address_, number = this] {
      const auto found = owner.questions_.find(address);
      if (found != owner.questions_.end() && found->second.get() == number) {
        owner.questions_.erase(found);
      }
    });
    timeout_.Cancel();
  }

 private:
  peer_exchange& owner_;
  std::string address_;
  std::unique_ptr<http1_call> call_;
  timer_subscription timeout_;
  int status_ = 0;
  std::string body_;
};

peer_exchange::peer_exchange(options settings)
    : settings_(std::move(settings)), random_(std::random_device{}()) {
  std::erase(settings_.peers, settings_.listen);
}

peer_exchange::~peer_exchange() = default;

bool peer_exchange::Start(std::string& error) {
  server_ = http1_server::Listen(
      {.loop = settings_.loop,
       .timers = settings_.timers,
       .address = settings_.listen,
       .on_request = [this](http1_request request,
                            std::shared_ptr<http1_answer> answer) { Answer(request, *answer); }},
      error);
  if (!server_) {
    return false;
  }
  Ask();
  return true;
}

void peer_exchange::Answer(const http1_request& request, http1_answer& answer) {
  if (request.head.target != kPath) {
    answer.Reply(kNotFound, {}, "");
    return;
  }
  const instant now = timer_service::now();
  if (const auto name = request.head.Find(kNameHeader)) {
    heard_from_[std::string(*name)] = now;
  }
  gateway_snapshot snapshot = settings_.owner.Snapshot();
  snapshot.gateways = GatewaysKnown(now);
  answer.Reply(kOk, {{"Content-Type", "application/octet-stream"}}, EncodeSnapshot(snapshot));
}

std::uint32_t peer_exchange::GatewaysKnown(instant now) const {
  const auto recent =
      std::count_if(heard_from_.begin(), heard_from_.end(),
                    [&](const auto& each) { return now - each.second < kForgetAfter; });
  return static_cast<std::uint32_t>(recent) + 1;
}

void peer_exchange::AskPeer(const std::string& address) {
  if (!questions_.contains(address)) {
    questions_[address] = std::make_unique<question>(*this, address);
  }
}

void peer_exchange::Ask() {
  std::uint32_t gateways = std::max(GatewaysKnown(timer_service::now()),
                                    static_cast<std::uint32_t>(settings_.peers.size()) + 1);
  for (const auto& [peer, count] : told_gateways_) {
    gateways = std::max(gateways, count);
  }
  settings_.owner.SetGateways(gateways);
  const bool calm = settings_.owner.able() && !settings_.owner.publisher_lost();
  if (calm && !settings_.peers.empty()) {
    AskPeer(settings_.peers[random_() % settings_.peers.size()]);
  } else {
    for (const std::string& peer : settings_.peers) {
      AskPeer(peer);
    }
  }
  const milliseconds period = calm ? kCalmPeriod : kLostPeriod;
  const auto jitter = milliseconds(
      static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(period.count() / 4)));
  next_ = settings_.timers.After(period + jitter, [this](instant /*now*/) { Ask(); });
}

}  // namespace jacinthspool
