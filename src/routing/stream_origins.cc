#include "jacinthspool/routing/stream_origins.h"

#include <algorithm>

namespace jacinthspool {

void stream_origins::Drop(std::multimap<instant, std::uint64_t>::iterator first) {
  const auto found = entries_.find(first->second);
  // An entry whose life was prolonged has a later end as well.
  if (found != entries_.end() && found->second.until == first->first) {
    entries_.erase(found);
  }
  ends_.erase(first);
}

void stream_origins::Note(std::uint64_t stream, const stream_origin& origin, microseconds life,
                          instant now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    Drop(ends_.begin());
  }
  const instant until = now + std::min(life, settings_.longest_life);
  if (until <= now) {
    return;
  }
  const auto [noted, first] =
      entries_.try_emplace(stream, entry{.origin = origin, .noted = now, .until = until});
  if (!first) {
    noted->second.contested = noted->second.contested || noted->second.origin != origin;
    if (until <= noted->second.until) {
      return;
    }
    noted->second.until = until;
  }
  ends_.emplace(until, stream);
  while (entries_.size() > settings_.most) {
    Drop(ends_.begin());
  }
}

const stream_origins::entry* stream_origins::Find(std::uint64_t stream, instant now) const {
  const auto found = entries_.find(stream);
  return found == entries_.end() || found->second.until <= now ? nullptr : &found->second;
}

}  // namespace jacinthspool
