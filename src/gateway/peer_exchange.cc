#include "src/gateway/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "src/telemetry/log.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

/// Between two questions while the publisher answers.
constexpr milliseconds kCalmPeriod = milliseconds(2000);
/// Between two rounds of questions to all peers while it does not.
constexpr milliseconds kLostPeriod = milliseconds(400);
/// After the start all peers are asked often for so long.
constexpr milliseconds kSettleTime = seconds(3);
/// A gateway that has not asked for this long is not counted.
constexpr milliseconds kForgetAfter = seconds(10);

}  // namespace

peer_exchange::peer_exchange(options settings)
    : settings_(std::move(settings)),
      start_(timer_service::now()),
      members_({.settle = kSettleTime}, start_),
      random_(std::random_device{}()) {
  std::erase(settings_.peers, settings_.listen);
}

peer_exchange::~peer_exchange() = default;

bool peer_exchange::Start(std::string& error) {
  server_ = http1_server::Listen(
      {.loop = settings_.loop,
       .timers = settings_.timers,
       .address = settings_.listen,
       .on_request =
           [this](const http1_request& request, const std::shared_ptr<http1_answer>& answer) {
             Answer(request, *answer);
           }},
      error);
  if (!server_) {
    return false;
  }
  Ask();
  return true;
}

void peer_exchange::Answer(const http1_request& request, http1_answer& answer) {
  const auto scope = ScopeOf(request.head.target);
  if (!scope) {
    answer.Reply(http_status::kNotFound, {}, "");
    return;
  }
  const instant now = timer_service::now();
  if (const auto name = request.head.Find(kGatewayNameHeader)) {
    heard_from_[std::string(*name)] = now;
  }
  gateway_snapshot snapshot = settings_.owner.Snapshot(*scope);
  snapshot.gateways = GatewaysKnown(now);
  answer.Reply(http_status::kOk, {{"Content-Type", "application/octet-stream"}},
               EncodeSnapshot(snapshot));
}

std::uint32_t peer_exchange::GatewaysKnown(instant now) const {
  const auto recent = std::count_if(heard_from_.begin(), heard_from_.end(), [&](const auto& each) {
    return now - each.second < kForgetAfter;
  });
  return static_cast<std::uint32_t>(recent) + 1;
}

void peer_exchange::AskPeer(const std::string& address) {
  std::unique_ptr<snapshot_question>& question = questions_[address];
  if (question && !question->answered()) {
    return;
  }
  question = std::make_unique<snapshot_question>(snapshot_question::options{
      .timers = settings_.timers,
      .client = settings_.client,
      .address = address,
      .gateway = settings_.name,
      .scope = settings_.owner.Wanted(),
      .on_answer = [this, address](std::optional<gateway_snapshot> snapshot) {
        if (snapshot) {
          told_gateways_[address] = snapshot->gateways;
          settings_.owner.TakeSnapshot(std::move(*snapshot));
        }
      }});
}

void peer_exchange::Ask() {
  std::uint32_t gateways = std::max(GatewaysKnown(timer_service::now()),
                                    static_cast<std::uint32_t>(settings_.peers.size()) + 1);
  for (const auto& [peer, count] : told_gateways_) {
    gateways = std::max(gateways, count);
  }
  settings_.owner.SetGateways(members_.Update(
      gateways, !told_gateways_.empty() || settings_.peers.empty(), timer_service::now()));
  // At first all are asked, so that each soon knows how many there are.
  const bool settled = timer_service::now() - start_ > kSettleTime;
  const bool calm = settled && settings_.owner.able() && !settings_.owner.publisher_lost();
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
