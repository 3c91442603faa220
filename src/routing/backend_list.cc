#include "jacinthspool/routing/backend_list.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {

void backend_list::Replace(std::vector<backend_record> records, std::uint64_t revision,
                           instant now) {
  if (revision < revision_) {
    return;
  }
  std::map<std::string, backend_record> next;
  for (backend_record& record : records) {
    std::string id = record.id;
    next.insert_or_assign(std::move(id), Amended(std::move(record)));
  }
  const std::map<std::string, backend_record> before = std::exchange(backends_, std::move(next));
  std::map<std::string, std::uint64_t> held = std::exchange(missing_, {});
  revision_ = revision;
  if (!Disturbed(now)) {
    return;
  }
  for (const auto& [id, record] : before) {
    if (!backends_.contains(id)) {
      const auto known = held.find(id);
      missing_[id] = known == held.end() ? revision : known->second;
      backends_[id] = record;
    }
  }
}

void backend_list::Put(backend_record record) {
  revision_ = std::max(revision_, record.revision);
  const auto known = backends_.find(record.id);
  if (known != backends_.end() && known->second.revision > record.revision) {
    return;
  }
  missing_.erase(record.id);
  std::string id = record.id;
  backends_.insert_or_assign(std::move(id), Amended(std::move(record)));
}

bool backend_list::MarkLeaving(const std::string& id, std::uint64_t started_ms, instant now) {
  const auto known = backends_.find(id);
  if (known != backends_.end() && known->second.started_ms != started_ms) {
    return false;
  }
  farewells_[id] = {.started_ms = started_ms, .said = now};
  return known != backends_.end() && !std::exchange(known->second.leaving, true);
}

backend_record backend_list::Amended(backend_record record) {
  const auto found = farewells_.find(record.id);
  if (found == farewells_.end()) {
    return record;
  }
  if (found->second.started_ms == record.started_ms) {
    record.leaving = true;
  } else {
    farewells_.erase(found);
  }
  return record;
}

void backend_list::Remove(const std::string& id, std::uint64_t revision, instant now) {
  revision_ = std::max(revision_, revision);
  const auto known = backends_.find(id);
  if (known == backends_.end() || known->second.revision > revision) {
    return;
  }
  if (Disturbed(now) && !known->second.leaving) {
    missing_[id] = revision;
    return;
  }
  missing_.erase(id);
  backends_.erase(known);
}

void backend_list::PublisherLost() { lost_ = true; }

void backend_list::PublisherBack(instant now) {
  if (std::exchange(lost_, false)) {
    back_since_ = now;
  }
}

bool backend_list::Expire(instant now) {
  std::erase_if(farewells_, [&](const auto& each) {
    return !backends_.contains(each.first) && now - each.second.said > settings_.leaving_memory;
  });
  if (missing_.empty() || Disturbed(now)) {
    return false;
  }
  for (const auto& [id, revision] : std::exchange(missing_, {})) {
    backends_.erase(id);
  }
  return true;
}

bool backend_list::Disturbed(instant now) const {
  return lost_ || (back_since_ != instant{} && now - back_since_ < settings_.lapse_grace);
}

}  // namespace jacinthspool
