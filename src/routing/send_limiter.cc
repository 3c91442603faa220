#include "jacinthspool/routing/send_limiter.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {
namespace {

std::uint32_t CallsAtOnce(const backend_record& backend) {
  return backend.stage == engine_stage::kDecode ? kReservedCalls : 1;
}

}  // namespace

void send_limiter::Update(const std::map<std::string, backend_record>& backends, instant now) {
  limits_.Expire(now);
  fleet_.Expire(now);
  std::map<std::string, bucket> next;
  for (const auto& [id, stated] : limits_.all()) {
    const auto record = backends.find(id);
    if (record == backends.end() || !limited(record->second)) {
      continue;
    }
    auto known = buckets_.extract(id);
    bucket& each = next[id];
    if (!known.empty() && known.mapped().started_ms == stated.started_ms) {
      each = std::move(known.mapped());
    }
    const double tokens = Tokens(each, now);
    each.started_ms = stated.started_ms;
    each.limit_per_second = *stated.per_second;
    each.share = ShareOfLimit(settings_.split, fleet_,
                              {.gateway = settings_.gateway,
                               .backend = id,
                               .service = record->second.service,
                               .per_second = *stated.per_second,
                               .calls = CallsAtOnce(record->second)});
    each.tokens = std::min(tokens, each.share.burst);
    each.filled = now;
  }
  buckets_ = std::move(next);
}

double send_limiter::Tokens(const bucket& each, instant now) {
  const std::chrono::duration<double> age = now - each.filled;
  return std::min(each.tokens + each.share.per_second * age.count(), each.share.burst);
}

const send_limiter::bucket* send_limiter::Find(const backend_record& backend) const {
  const auto found = buckets_.find(backend.id);
  return found != buckets_.end() && found->second.started_ms == backend.started_ms ? &found->second
                                                                                   : nullptr;
}

bool send_limiter::MaySend(const backend_record& backend, std::uint32_t calls, instant now) const {
  const bucket* known = Find(backend);
  return known == nullptr ? !limited(backend) : Tokens(*known, now) >= calls;
}

void send_limiter::OnSend(const backend_record& backend, std::uint32_t calls, instant now) {
  const auto found = buckets_.find(backend.id);
  if (Find(backend) == nullptr) {
    return;
  }
  bucket& each = found->second;
  each.tokens = Tokens(each, now) - calls;
  each.filled = now;
  std::erase_if(each.sent, [&](instant at) { return now - at > settings_.window; });
  each.sent.insert(each.sent.end(), calls, now);
}

void send_limiter::OnUnsent(const backend_record& backend, std::uint32_t calls, instant now) {
  const auto found = buckets_.find(backend.id);
  if (Find(backend) == nullptr) {
    return;
  }
  bucket& each = found->second;
  each.tokens = std::min(Tokens(each, now) + calls, each.share.burst);
  each.filled = now;
  for (std::uint32_t i = 0; i < calls && !each.sent.empty(); ++i) {
    each.sent.pop_back();
  }
}

double send_limiter::Rate(const backend_record& backend) const {
  const bucket* known = Find(backend);
  return known == nullptr ? 0 : known->share.per_second;
}

std::optional<instant> send_limiter::ReadyAt(const backend_record& backend, std::uint32_t calls,
                                             instant now) const {
  const bucket* known = Find(backend);
  if (known == nullptr) {
    return limited(backend) ? std::nullopt : std::optional(now);
  }
  if (known->share.per_second <= 0) {
    return std::nullopt;
  }
  const std::chrono::duration<double> wait{std::max(0.0, calls - Tokens(*known, now)) /
                                           known->share.per_second};
  return now + std::chrono::ceil<microseconds>(wait);
}

std::vector<send_limiter::usage> send_limiter::Usage(instant now) const {
  std::vector<usage> all;
  for (const auto& [id, each] : buckets_) {
    const auto sent = std::count_if(each.sent.begin(), each.sent.end(),
                                    [&](instant at) { return now - at <= settings_.window; });
    all.push_back({.backend = id,
                   .limit_per_second = each.limit_per_second,
                   .share = each.share,
                   .sent_in_window = static_cast<std::size_t>(sent)});
  }
  return all;
}

}  // namespace jacinthspool
