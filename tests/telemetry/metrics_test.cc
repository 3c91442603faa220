#include "src/telemetry/metrics.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

namespace jacinthspool {
namespace {

std::vector<std::string> LinesOf(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

bool Has(const std::string& text, const std::string& wanted) {
  for (const std::string& line : LinesOf(text)) {
    if (line == wanted) {
      return true;
    }
  }
  return false;
}

TEST_CASE("metrics are rendered in the Prometheus text format") {
  metrics_registry metrics;
  CHECK(metrics.Render().empty());

  SUBCASE("counters add up by their labels") {
    metrics.Count("requests_total", {{"team", "a"}, {"code", "200"}});
    metrics.Count("requests_total", {{"team", "a"}, {"code", "200"}}, 2);
    metrics.Count("requests_total");
    const std::string text = metrics.Render();
    CHECK(Has(text, "# TYPE requests_total counter"));
    CHECK(Has(text, "requests_total{code=\"200\",team=\"a\"} 3"));
    CHECK(Has(text, "requests_total 1"));
    CHECK(LinesOf(text).size() == 3);
  }

  SUBCASE("gauges keep the last value") {
    metrics.Set("load", {}, 1);
    metrics.Set("load", {}, -2.5);
    CHECK(Has(metrics.Render(), "load -2.5"));
  }

  SUBCASE("label values are escaped") {
    metrics.Set("load", {{"name", "a\"b\\c\nd"}}, 1);
    CHECK(Has(metrics.Render(), "load{name=\"a\\\"b\\\\c\\nd\"} 1"));
  }

  SUBCASE("latencies are counted in cumulative buckets") {
    metrics.Observe("wait_seconds", {{"team", "a"}}, microseconds(10));
    metrics.Observe("wait_seconds", {{"team", "a"}}, milliseconds(5));
    metrics.Observe("wait_seconds", {{"team", "a"}}, seconds(500));
    const std::string text = metrics.Render();
    CHECK(Has(text, "# TYPE wait_seconds histogram"));
    CHECK(Has(text, "wait_seconds_bucket{team=\"a\",le=\"0.0001\"} 1"));
    CHECK(Has(text, "wait_seconds_bucket{team=\"a\",le=\"0.001\"} 1"));
    CHECK(Has(text, "wait_seconds_bucket{team=\"a\",le=\"0.01\"} 2"));
    CHECK(Has(text, "wait_seconds_bucket{team=\"a\",le=\"100\"} 2"));
    CHECK(Has(text, "wait_seconds_bucket{team=\"a\",le=\"+Inf\"} 3"));
    CHECK(Has(text, "wait_seconds_count{team=\"a\"} 3"));
    CHECK(text.find("wait_seconds_sum{team=\"a\"} 500.00501") != std::string::npos);
  }
}

}  // namespace
}  // namespace jacinthspool
