#include "jacinthspool/routing/sound_parts.h"

#include <iterator>

namespace jacinthspool {

void sound_parts::Add(prompt_part part, instant now) {
  const auto known = index_.find(part);
  if (known == index_.end()) {
    new_.push_front({.part = part, .seen = now});
    index_[part] = new_.begin();
  } else {
    const auto place = known->second;
    frequent_.splice(frequent_.begin(), place->frequent ? frequent_ : new_, place);
    place->seen = now;
    place->frequent = true;
  }
  if (frequent_.size() > settings_.max_frequent) {
    const auto last = std::prev(frequent_.end());
    last->frequent = false;
    new_.splice(new_.begin(), frequent_, last);
  }
  if (new_.size() > settings_.max_new) {
    index_.erase(new_.back().part);
    new_.pop_back();
  }
}

std::optional<instant> sound_parts::Find(prompt_part part) const {
  const auto known = index_.find(part);
  return known == index_.end() ? std::nullopt : std::optional(known->second->seen);
}

}  // namespace jacinthspool
