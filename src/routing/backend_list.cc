#include "jacinthspool/routing/backend_list.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {

void backend_list::Replace(std::vector<backend_record> records, history_position at, instant now) {
  if (at < position_) {
    return;
  }
  const bool new_era = at.era > position_.era && position_ != history_position();
  if (new_era) {
    BeginEra(now);
  }
  std::map<std::string, backend_record> next;
  for (backend_record& record : records) {
    std::string id = record.id;
    next.insert_or_assign(std::move(id), Amended(std::move(record)));
  }
  const std::map<std::string, backend_record> before = std::exchange(backends_, std::move(next));
  std::map<std::string, history_position> held = std::exchange(missing_, {});
  position_ = at;
  if (new_era) {
    MarkGhosts(now);
  }
  for (const auto& [id, record] : before) {
    if (backends_.contains(id)) {
      continue;
    }
    if (!Disturbed(now)) {
      removals_[id] = {.started_ms = record.started_ms, .seen = now};
      continue;
    }
    const auto known = held.find(id);
    missing_[id] = known == held.end() || new_era ? at : known->second;
    backends_[id] = record;
  }
}

void backend_list::BeginEra(instant now) {
  for (const auto& [id, record] : backends_) {
    if (record.leaving && !ghosts_.contains(id)) {
      farewells_[id] = {.started_ms = record.started_ms, .said = now};
    }
  }
  // Servers write their entries again in their own time.
  back_since_ = now;
}

void backend_list::MarkGhosts(instant now) {
  ghosts_.clear();
  for (auto& [id, record] : backends_) {
    const auto seen = removals_.find(id);
    if (seen != removals_.end() && seen->second.started_ms == record.started_ms &&
        !record.leaving) {
      record.leaving = true;
      ghosts_[id] = now + settings_.ghost_life;
    }
  }
}

void backend_list::Put(backend_record record) {
  position_ = std::max(position_, record.published);
  const auto known = backends_.find(record.id);
  if (known != backends_.end() && known->second.published > record.published) {
    return;
  }
  missing_.erase(record.id);
  removals_.erase(record.id);
  ghosts_.erase(record.id);
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

void backend_list::Remove(const std::string& id, history_position at, instant now) {
  position_ = std::max(position_, at);
  const auto known = backends_.find(id);
  if (known == backends_.end() || known->second.published > at) {
    return;
  }
  if (Disturbed(now) && !known->second.leaving) {
    missing_[id] = at;
    return;
  }
  Drop(id, now);
}

void backend_list::Drop(const std::string& id, instant now) {
  const auto known = backends_.find(id);
  if (known == backends_.end()) {
    return;
  }
  const backend_record& record = known->second;
  removals_[id] = {.started_ms = record.started_ms, .seen = now};
  if (record.leaving && !ghosts_.contains(id)) {
    farewells_[id] = {.started_ms = record.started_ms, .said = now};
  }
  missing_.erase(id);
  ghosts_.erase(id);
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
  std::erase_if(removals_, [&](const auto& each) {
    return now - each.second.seen > settings_.leaving_memory;
  });
  const bool proved =
      std::erase_if(ghosts_, [&](const auto& each) {
        const bool lives = each.second <= now;
        if (lives) {
          // Its entry would have lapsed by now.
          if (const auto known = backends_.find(each.first); known != backends_.end()) {
            known->second.leaving = false;
          }
          removals_.erase(each.first);
        }
        return lives;
      }) > 0;
  if (missing_.empty() || Disturbed(now)) {
    return proved;
  }
  for (const auto& [id, at] : std::exchange(missing_, {})) {
    Drop(id, now);
  }
  return true;
}

bool backend_list::Disturbed(instant now) const {
  return lost_ || (back_since_ != instant{} && now - back_since_ < settings_.lapse_grace);
}

}  // namespace jacinthspool
