#include "src/settings/watch_policy.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace jacinthspool {
namespace {

std::uint64_t RankOf(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

microseconds Part(microseconds whole, std::uint32_t random) {
  const double share = static_cast<double>(random) / std::numeric_limits<std::uint32_t>::max();
  return microseconds(static_cast<microseconds::rep>(static_cast<double>(whole.count()) * share));
}

}  // namespace

bool IsWatcher(std::string_view self, const std::vector<std::string>& known, std::size_t watchers) {
  const std::uint64_t own = RankOf(self);
  const auto ahead = std::count_if(known.begin(), known.end(), [&](const std::string& name) {
    return name != self && RankOf(name) < own;
  });
  return static_cast<std::size_t>(ahead) < watchers;
}

std::vector<std::string> KnownProcesses(const settings_snapshot& settings,
                                        std::string_view data_centre) {
  const std::vector<std::string>& leaving = settings.operators->leaving;
  std::vector<std::string> names;
  for (const auto& pool : settings.operators->pools) {
    for (const auto& member : pool->backends) {
      const bool leaves = std::find(leaving.begin(), leaving.end(), member->name) != leaving.end();
      if (member->data_centre == data_centre && !leaves) {
        names.push_back(member->name);
      }
    }
  }
  return names;
}

microseconds backoff::Next(std::uint32_t random) {
  const microseconds half = limit_ / 2;
  const microseconds delay = half + Part(half, random);
  limit_ = std::min(limit_ * 2, settings_.last);
  return delay;
}

microseconds Jittered(microseconds period, std::uint32_t random) {
  return period / 2 + Part(period, random);
}

}  // namespace jacinthspool
