#include "src/gateway/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "src/telemetry/log.h"
#include "src/transport/http_status.h"
#include "src/transport/socket_address.h"

namespace jacinthspool {
namespace {

/// Between two queries while the publisher is available.
constexpr milliseconds kQueryPeriod = milliseconds(2000);
/// Between two rounds of queries to all peers while it is not, of which the first is at once.
constexpr milliseconds kFastQueryPeriod = milliseconds(400);
/// Between two queries while some server's limit is in force, whose shares follow the traffic,
/// while servers that ended are remembered, and after an engine's pace has changed.
constexpr milliseconds kActiveQueryPeriod = milliseconds(800);
/// A limit that this gateway is the first to learn, and news of servers that ended, are sent to all
/// peers within this time.
constexpr milliseconds kNewsCheckPeriod = milliseconds(100);
/// After the start all peers are queried at the shorter interval for this time.
constexpr milliseconds kSettleTime = seconds(3);
/// A gateway that has not queried for this time is not counted.
constexpr milliseconds kForgetAfter = seconds(10);
constexpr std::size_t kMaxLearned = 1024;
/// Sidecars whose records are read at the same time.
constexpr std::size_t kMaxRecordReads = 64;

}  // namespace

peer_exchange::peer_exchange(options settings)
    : settings_(std::move(settings)),
      start_(timer_service::now()),
      members_({.settle = kSettleTime}, start_),
      addresses_({.self = settings_.listen, .seeds = settings_.peers, .started = start_}),
      random_(std::random_device{}()) {
  settings_.owner.payments().SetHomes(settings_.listen, settings_.peers);
  std::erase(settings_.peers, settings_.listen);
}

peer_exchange::~peer_exchange() = default;

bool peer_exchange::Start(std::string& error) {
  server_ = http1_server::Listen(
      {.loop = settings_.loop,
       .timers = settings_.timers,
       .address = settings_.listen,
       .on_request = [this](const http1_request& request,
                            http1_responder answer) { Answer(request, std::move(answer)); }},
      error);
  if (!server_) {
    return false;
  }
  std::string unbound;
  if (!settings_.owner.streams().Open(settings_.listen, unbound)) {
    // Callers still take up the streams that this gateway has begun.
    Log(log_level::kError, "stream_messages_unavailable", {{"reason", unbound}});
  }
  QueryPeers();
  news_check_ = settings_.timers.Every(kNewsCheckPeriod, [this](instant /*now*/) {
    const bool had_pace_news = std::exchange(had_pace_news_, settings_.owner.has_pace_news());
    if ((settings_.owner.limited() && !was_limited_) || (had_pace_news_ && !had_pace_news) ||
        (settings_.owner.lacks_news() && !lacked_news_)) {
      QueryPeers();
    }
    // The peers may know gateways that do not know each other, so they pass reports on.
    const bool from_peers = settings_.owner.TakePeerCrashNews() && !learned_.empty();
    if (settings_.owner.TakeCrashNews() || from_peers) {
      TellAll();
    }
  });
  return true;
}

void peer_exchange::AnswerRecord(const http1_request& request, http1_responder answer) {
  const std::string id(request.head.Find(kBackendHeader).value_or(""));
  if (id.empty()) {
    std::move(answer).Reply(http_status::kBadRequest, {}, "");
    return;
  }
  if (!settings_.read_backend || records_read_ == kMaxRecordReads) {
    std::move(answer).Reply(http_status::kServiceUnavailable, {}, "");
    return;
  }
  ++records_read_;
  settings_.read_backend(id, [this, alive = std::weak_ptr<bool>(alive_),
                              held = std::make_shared<http1_responder>(std::move(answer))](
                                 const std::optional<current_record>& current) {
    if (alive.lock()) {
      --records_read_;
    }
    if (!current) {
      std::move(*held).Reply(http_status::kServiceUnavailable, {}, "");
      return;
    }
    std::move(*held).Reply(http_status::kOk, {{"Content-Type", "application/octet-stream"}},
                           EncodeSnapshot(SnapshotOf(*current)));
  });
}

void peer_exchange::Answer(const http1_request& request, http1_responder answer) {
  if (request.head.target == kRecordTarget) {
    AnswerRecord(request, std::move(answer));
    return;
  }
  if (request.head.target == kCreditTarget) {
    settings_.owner.payments().Answer(request, std::move(answer));
    return;
  }
  const auto scope = ScopeOf(request.head.target);
  if (!scope) {
    std::move(answer).Reply(http_status::kNotFound, {}, "");
    return;
  }
  const instant now = timer_service::now();
  if (const auto name = request.head.Find(kGatewayNameHeader)) {
    last_query_[std::string(*name)] = now;
    Learn(request, now);
  }
  std::uint64_t known_members = 0;
  if (!request.body.empty()) {
    if (const auto news = DecodeSnapshot(request.body)) {
      settings_.owner.ApplyFleet(*news);
      known_members = news->members_digest;
    } else {
      Log(log_level::kWarning, "peer_news_unreadable",
          {{"peer", request.head.Find(kGatewayNameHeader).value_or("")},
           {"expected", "an encoded snapshot"},
           {"got_bytes", request.body.size()}});
    }
  }
  gateway_snapshot snapshot = settings_.owner.Snapshot(*scope);
  snapshot.gateways = CountGateways(now);
  if (request.head.Find(kGatewayNameHeader)) {
    gateway_snapshot fleet = settings_.owner.FleetSnapshot(gateway::fleet_scope::kAll);
    snapshot.limits = std::move(fleet.limits);
    snapshot.fleet = std::move(fleet.fleet);
    snapshot.paces = std::move(fleet.paces);
    std::vector<std::string> heard = addresses_.Heard(now);
    snapshot.members_digest = gateway_members::Digest(heard);
    if (snapshot.members_digest != known_members) {
      snapshot.members = std::move(heard);
    }
  }
  std::move(answer).Reply(http_status::kOk, {{"Content-Type", "application/octet-stream"}},
                          EncodeSnapshot(snapshot));
}

void peer_exchange::Learn(const http1_request& request, instant now) {
  std::erase_if(learned_, [&](const auto& each) {
    if (now - each.second < kForgetAfter) {
      return false;
    }
    queries_.erase(each.first);
    told_late_.erase(each.first);
    return true;
  });
  const std::string address(request.head.Find(kGatewayAddressHeader).value_or(""));
  socket_address parsed;
  if (!ParseSocketAddress(address, parsed)) {
    return;
  }
  addresses_.OnContact(address, now);
  const bool configured =
      address == settings_.listen ||
      std::find(settings_.peers.begin(), settings_.peers.end(), address) != settings_.peers.end();
  if (configured) {
    return;
  }
  if (learned_.size() < kMaxLearned || learned_.contains(address)) {
    learned_[address] = now;
  }
}

void peer_exchange::UpdateMembers(instant now) {
  settings_.owner.streams().SetMembers(addresses_.All(now));
}

std::uint32_t peer_exchange::CountGateways(instant now) const {
  const auto recent = std::count_if(last_query_.begin(), last_query_.end(), [&](const auto& each) {
    return now - each.second < kForgetAfter;
  });
  return static_cast<std::uint32_t>(recent) + 1;
}

void peer_exchange::QueryPeer(const std::string& address) {
  std::unique_ptr<snapshot_query>& query = queries_[address];
  if (query && !query->answered()) {
    return;
  }
  gateway_snapshot news = settings_.owner.FleetSnapshot(gateway::fleet_scope::kOwn);
  news.members_digest = addresses_.DigestOf(address);
  query = std::make_unique<snapshot_query>(snapshot_query::options{
      .timers = settings_.timers,
      .client = settings_.client,
      .address = address,
      .gateway = settings_.name,
      .listen = settings_.listen,
      .scope = settings_.owner.WantedScope(),
      .news = EncodeSnapshot(news),
      .on_answer = [this, address](std::optional<gateway_snapshot> snapshot) {
        if (snapshot) {
          if (!snapshot->fault.empty() && fault_lines_.Permits(address, timer_service::now())) {
            Log(log_level::kWarning, "peer_state_unusable",
                {{"peer", address},
                 {"reason", snapshot->fault},
                 {"suppressed", fault_lines_.TakeSuppressed()}});
          }
          if (!learned_.contains(address)) {
            reported_gateways_[address] = snapshot->gateways;
          }
          settings_.owner.OnPeerAnswer();
          const instant now = timer_service::now();
          addresses_.OnContact(address, now);
          if (snapshot->members.empty()) {
            addresses_.OnDigest(address, snapshot->members_digest, now);
          } else {
            addresses_.OnList(address, std::move(snapshot->members), now);
          }
          UpdateMembers(now);
          settings_.owner.ApplyFleet(*snapshot);
          settings_.owner.ApplySnapshot(std::move(*snapshot));
        }
        if (told_late_.erase(address) > 0) {
          // The query that has ended here must not be destroyed yet.
          settings_.loop.Post([this, address, alive = std::weak_ptr<bool>(alive_)] {
            if (alive.lock()) {
              QueryPeer(address);
            }
          });
        }
      }});
}

void peer_exchange::TellAll() {
  const auto tell = [this](const std::string& address) {
    const auto open = queries_.find(address);
    if (open != queries_.end() && !open->second->answered()) {
      told_late_.insert(address);
    } else {
      QueryPeer(address);
    }
  };
  std::for_each(settings_.peers.begin(), settings_.peers.end(), tell);
  for (const auto& [address, queried] : learned_) {
    tell(address);
  }
}

void peer_exchange::QueryPeers() {
  std::uint32_t gateways = std::max(CountGateways(timer_service::now()),
                                    static_cast<std::uint32_t>(settings_.peers.size()) + 1);
  for (const auto& [peer, count] : reported_gateways_) {
    gateways = std::max(gateways, count);
  }
  UpdateMembers(timer_service::now());
  settings_.owner.payments().SetCounted(gateways);
  settings_.owner.SetGateways(members_.Update(
      gateways, !reported_gateways_.empty() || settings_.peers.empty(), timer_service::now()));
  // At first all peers are queried, so that each soon knows the number of gateways.
  const bool settled = timer_service::now() - start_ > kSettleTime;
  lacked_news_ = settings_.owner.lacks_news();
  const bool regular = settled && settings_.owner.can_route() && !lacked_news_;
  const bool limited = settings_.owner.limited();
  if (regular && limited == was_limited_ && !settings_.peers.empty()) {
    QueryPeer(settings_.peers[random_() % settings_.peers.size()]);
  } else {
    for (const std::string& peer : settings_.peers) {
      QueryPeer(peer);
    }
  }
  was_limited_ = limited;
  const bool active =
      limited || settings_.owner.has_crash_reports() || settings_.owner.has_pace_news();
  const milliseconds period = !regular ? kFastQueryPeriod
                              : active ? kActiveQueryPeriod
                                       : kQueryPeriod;
  const auto jitter = milliseconds(
      static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(period.count() / 4)));
  next_ = settings_.timers.After(period + jitter, [this](instant /*now*/) { QueryPeers(); });
}

}  // namespace jacinthspool
