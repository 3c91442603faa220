#include "jacinthspool/routing/gateway_members.h"

#include <algorithm>
#include <set>
#include <utility>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {

gateway_members::gateway_members(options settings) : settings_(std::move(settings)) {
  for (const std::string& seed : settings_.seeds) {
    heard_[seed] = settings_.started;
  }
}

void gateway_members::OnContact(const std::string& address, instant now) {
  std::erase_if(heard_,
                [&](const auto& each) { return now - each.second > settings_.forget_after; });
  if (heard_.size() < settings_.most || heard_.contains(address)) {
    heard_[address] = now;
  }
}

void gateway_members::OnList(const std::string& peer, std::vector<std::string> members,
                             instant now) {
  if (members.size() <= settings_.most) {
    const std::uint64_t digest = Digest(members);
    lists_[peer] = {.members = std::move(members), .digest = digest, .told = now};
  }
}

void gateway_members::OnDigest(const std::string& peer, std::uint64_t digest, instant now) {
  if (const auto known = lists_.find(peer);
      known != lists_.end() && known->second.digest == digest) {
    known->second.told = now;
  }
}

std::vector<std::string> gateway_members::Heard(instant now) const {
  std::vector<std::string> heard;
  for (const auto& [address, last] : heard_) {
    if (now - last <= settings_.forget_after) {
      heard.push_back(address);
    }
  }
  return heard;
}

std::uint64_t gateway_members::DigestOf(const std::string& peer) const {
  const auto known = lists_.find(peer);
  return known == lists_.end() ? 0 : known->second.digest;
}

std::vector<std::string> gateway_members::All(instant now) const {
  std::set<std::string> all = {settings_.self};
  std::ranges::copy(Heard(now), std::inserter(all, all.end()));
  for (const auto& [peer, list] : lists_) {
    if (now - list.told <= settings_.forget_after) {
      all.insert(list.members.begin(), list.members.end());
    }
  }
  return {all.begin(), all.end()};
}

std::uint64_t gateway_members::Digest(const std::vector<std::string>& members) {
  std::uint64_t digest = members.size();
  for (const std::string& each : members) {
    digest = HashKey(each, digest);
  }
  return std::max<std::uint64_t>(digest, 1);
}

}  // namespace jacinthspool
