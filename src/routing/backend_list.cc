#include "jacinthspool/routing/backend_list.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {

std::string_view ToString(engine_stage stage) {
  switch (stage) {
    case engine_stage::kNone:
      return "none";
    case engine_stage::kPrefill:
      return "prefill";
    case engine_stage::kDecode:
      return "decode";
  }
  return "none";
}

void backend_list::Replace(std::vector<backend_record> records, store_position at, instant now) {
  if (at < position_) {
    return;
  }
  const bool new_era = at.era > position_.era && position_ != store_position();
  if (new_era) {
    BeginEra(now);
  }
  std::map<std::string, backend_record> next;
  for (backend_record& record : records) {
    if (Removed(record)) {
      continue;
    }
    std::string id = record.id;
    next.insert_or_assign(std::move(id), WithLeavingMark(std::move(record)));
  }
  const std::map<std::string, backend_record> before = std::exchange(backends_, std::move(next));
  std::map<std::string, store_position> deferred = std::exchange(deferred_removals_, {});
  position_ = at;
  if (new_era) {
    MarkStaleEntries(now);
  }
  for (const auto& [id, record] : before) {
    if (backends_.contains(id)) {
      continue;
    }
    if (!PublisherUnstable(now)) {
      removals_[id] = {.started_ms = record.started_ms, .at = at, .seen = now};
      continue;
    }
    const auto known = deferred.find(id);
    deferred_removals_[id] = known == deferred.end() || new_era ? at : known->second;
    backends_[id] = record;
  }
}

void backend_list::BeginEra(instant now) {
  for (const auto& [id, record] : backends_) {
    if (record.leaving && !stale_entries_.contains(id)) {
      leaving_notices_[id] = {.started_ms = record.started_ms, .received = now};
    }
  }
  // Servers publish their entries again independently of each other, within the grace period.
  regained_at_ = now;
}

void backend_list::MarkStaleEntries(instant now) {
  stale_entries_.clear();
  for (auto& [id, record] : backends_) {
    const auto seen = removals_.find(id);
    if (seen != removals_.end() && seen->second.started_ms == record.started_ms &&
        !record.leaving) {
      record.leaving = true;
      stale_entries_[id] = now + settings_.stale_entry_life;
    }
  }
}

void backend_list::Put(backend_record record) {
  position_ = std::max(position_, record.published);
  const auto known = backends_.find(record.id);
  if (Removed(record) || (known != backends_.end() && known->second.published > record.published)) {
    return;
  }
  deferred_removals_.erase(record.id);
  removals_.erase(record.id);
  stale_entries_.erase(record.id);
  std::string id = record.id;
  backends_.insert_or_assign(std::move(id), WithLeavingMark(std::move(record)));
}

bool backend_list::MarkLeaving(const std::string& id, std::uint64_t started_ms, instant now) {
  const auto known = backends_.find(id);
  if (known != backends_.end() && known->second.started_ms != started_ms) {
    return false;
  }
  leaving_notices_[id] = {.started_ms = started_ms, .received = now};
  return known != backends_.end() && !std::exchange(known->second.leaving, true);
}

backend_record backend_list::WithLeavingMark(backend_record record) {
  const auto found = leaving_notices_.find(record.id);
  if (found == leaving_notices_.end()) {
    return record;
  }
  if (found->second.started_ms == record.started_ms) {
    record.leaving = true;
  } else {
    leaving_notices_.erase(found);
  }
  return record;
}

void backend_list::Remove(const std::string& id, store_position at, instant now) {
  position_ = std::max(position_, at);
  const auto known = backends_.find(id);
  if (known == backends_.end() || known->second.published > at) {
    return;
  }
  if (PublisherUnstable(now) && !known->second.leaving) {
    deferred_removals_[id] = at;
    return;
  }
  Drop(id, at, now);
}

bool backend_list::Depart(const departed_backend& departed, instant now) {
  const auto known = backends_.find(departed.id);
  if (known != backends_.end()) {
    if (known->second.published > departed.at) {
      return false;
    }
    Drop(departed.id, departed.at, now);
    return true;
  }
  const auto seen = removals_.find(departed.id);
  if (seen == removals_.end() || seen->second.at < departed.at) {
    removals_[departed.id] = {.started_ms = departed.started_ms, .at = departed.at, .seen = now};
  }
  return false;
}

std::vector<departed_backend> backend_list::DepartedAfter(const store_position& after) const {
  std::vector<departed_backend> departed;
  for (const auto& [id, each] : removals_) {
    if (each.at > after) {
      departed.push_back({.id = id, .started_ms = each.started_ms, .at = each.at});
    }
  }
  return departed;
}

bool backend_list::Removed(const backend_record& record) const {
  const auto seen = removals_.find(record.id);
  return seen != removals_.end() && !(record.published > seen->second.at);
}

void backend_list::Drop(const std::string& id, store_position at, instant now) {
  const auto known = backends_.find(id);
  if (known == backends_.end()) {
    return;
  }
  const backend_record& record = known->second;
  removals_[id] = {.started_ms = record.started_ms, .at = at, .seen = now};
  if (record.leaving && !stale_entries_.contains(id)) {
    leaving_notices_[id] = {.started_ms = record.started_ms, .received = now};
  }
  deferred_removals_.erase(id);
  stale_entries_.erase(id);
  backends_.erase(known);
}

void backend_list::PublisherLost() {
  if (!std::exchange(lost_, true) && deferred_removals_.empty()) {
    lost_at_ = position_;
  }
}

void backend_list::PublisherRegained(instant now) {
  if (std::exchange(lost_, false)) {
    regained_at_ = now;
  }
}

bool backend_list::Expire(instant now) {
  std::erase_if(leaving_notices_, [&](const auto& each) {
    return !backends_.contains(each.first) &&
           now - each.second.received > settings_.leaving_retention;
  });
  std::erase_if(removals_, [&](const auto& each) {
    return now - each.second.seen > settings_.leaving_retention;
  });
  const bool unmarked =
      std::erase_if(stale_entries_, [&](const auto& each) {
        const bool alive = each.second <= now;
        if (alive) {
          // A stale entry would have expired by now, so the server is alive.
          if (const auto known = backends_.find(each.first); known != backends_.end()) {
            known->second.leaving = false;
          }
          removals_.erase(each.first);
        }
        return alive;
      }) > 0;
  if (deferred_removals_.empty() || PublisherUnstable(now)) {
    return unmarked;
  }
  for (const auto& [id, at] : std::exchange(deferred_removals_, {})) {
    Drop(id, at, now);
  }
  return true;
}

bool backend_list::PublisherUnstable(instant now) const {
  return lost_ || (regained_at_ != instant{} && now - regained_at_ < settings_.expiry_grace);
}

}  // namespace jacinthspool
