#include "src/settings/gateway_figures.h"

#include <array>
#include <sstream>
#include <string>

#include "src/settings/document_place.h"

namespace jacinthspool {
namespace {

constexpr double kHourS = 3600;
constexpr double kHourMs = kHourS * 1000;
constexpr double kMany = 1e9;

/// A number of the settings and its range.
struct figure {
  const char* table;
  const char* name;
  double least;
  double most;
};

constexpr std::array<figure, 9> kFigures = {{{"gateway", "repeat_ratio", 0, 1},
                                             {"gateway", "repeat_window_s", 0.001, kHourS},
                                             {"gateway", "repeat_extra", 0, kMany},
                                             {"gateway", "stop_grace_s", 0.001, kHourS},
                                             {"gateway", "change_bound_ms", 1, kHourMs},
                                             {"gateway", "heartbeat_ms", 1, kHourMs},
                                             {"gateway", "key_bound_ms", 0, kHourMs},
                                             {"gateway", "memory_limit_mb", 0, kMany},
                                             {"sidecar", "prefill_percent", 0, 100}}};

std::string Obstacle(const nlohmann::json& value, const figure& range) {
  if (!value.is_number()) {
    return "must be a number, not " + std::string(value.type_name());
  }
  const auto number = value.get<double>();
  if (number >= range.least && number <= range.most) {
    return "";
  }
  std::ostringstream text;
  text << "must be from " << range.least << " to " << range.most << ", not " << number;
  return text.str();
}

}  // namespace

void ReplaceUnusableFigures(nlohmann::json& process, std::string_view place, findings& found) {
  document_place at(place, found);
  for (const figure& each : kFigures) {
    if (!process.is_object() || !process.contains(each.table) || !process[each.table].is_object() ||
        !process[each.table].contains(each.name)) {
      continue;
    }
    nlohmann::json& table = process[each.table];
    std::string obstacle = Obstacle(table[each.name], each);
    if (obstacle.empty()) {
      continue;
    }
    const place_scope scope(at, std::string(each.table));
    at.Add(each.name, std::move(obstacle));
    table.erase(each.name);
    if (each.name == std::string_view("key_bound_ms")) {
      table[each.name] = gateway_settings().change_bound_ms;
    }
  }
}

}  // namespace jacinthspool
