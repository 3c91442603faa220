#include "src/settings/watch_policy.h"

#include <algorithm>
#include <limits>

#include "jacinthspool/impl/rendezvous.h"

namespace jacinthspool {

bool IsWatcher(const watcher_candidate& candidate, const std::vector<std::string>& known) {
  const std::uint64_t key = HashKey(candidate.data_centre);
  const std::uint64_t own = RendezvousWeight(key, candidate.self);
  const auto ahead = std::count_if(known.begin(), known.end(), [&](const std::string& name) {
    return name != candidate.self && RendezvousWeight(key, name) > own;
  });
  return static_cast<std::size_t>(ahead) < candidate.watchers;
}

std::vector<std::string> KnownProcesses(const settings_snapshot& settings,
                                        std::string_view data_centre) {
  const std::vector<std::string>& leaving = settings.operators->leaving;
  std::vector<std::string> names;
  for (const auto& pool : settings.operators->pools) {
    for (const auto& member : pool->backends) {
      const bool is_draining =
          std::find(leaving.begin(), leaving.end(), member->name) != leaving.end();
      if (member->data_centre == data_centre && !is_draining) {
        names.push_back(member->name);
      }
    }
  }
  return names;
}

microseconds RandomFraction(microseconds whole, std::uint32_t random) {
  const double share = static_cast<double>(random) / std::numeric_limits<std::uint32_t>::max();
  return microseconds(static_cast<microseconds::rep>(static_cast<double>(whole.count()) * share));
}

microseconds Jittered(microseconds period, std::uint32_t random) {
  return period / 2 + RandomFraction(period, random);
}

}  // namespace jacinthspool
