#include "src/telemetry/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <charconv>
#include <tuple>
#include <utility>

namespace jacinthspool {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned kBuckets = 24;  // 4 per decade
constexpr double kFirstEdgeS = 1e-4;
constexpr double kLastEdgeS = 1e2;

using latency_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using latency_histogram = decltype(histogram::make_histogram(std::declval<latency_axis>()));

struct latency_series {
  latency_histogram buckets =
      histogram::make_histogram(latency_axis{kBuckets, kFirstEdgeS, kLastEdgeS});
  double sum = 0;
  std::uint64_t count = 0;
};

/// All series of one metric name, by their rendered labels.
template <typename T>
using family = std::map<std::string, T>;

template <typename T>
std::string NumberText(T value) {
  std::array<char, 64> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end};
}

/// Bucket edges are printed with six significant digits.
std::string EdgeText(double edge) {
  std::array<char, 64> text{};
  constexpr int kDigits = 6;
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), edge,
                                          std::chars_format::general, kDigits);
  return {text.data(), end};
}

std::string Escaped(const std::string& value) {
  std::string text;
  for (const char symbol : value) {
    switch (symbol) {
      case '\\':
        text += "\\\\";
        break;
      case '"':
        text += "\\\"";
        break;
      case '\n':
        text += "\\n";
        break;
      default:
        text += symbol;
    }
  }
  return text;
}

/// The labels without braces, sorted by name.
std::string LabelText(const metric_labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) {
      text += ',';
    }
    text += name + "=\"" + Escaped(value) + '"';
  }
  return text;
}

std::string Braced(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

std::string WithEdge(const std::string& labels, const std::string& edge) {
  return "{" + labels + (labels.empty() ? "" : ",") + "le=\"" + edge + "\"}";
}

void RenderType(std::string& text, const std::string& name, const char* type) {
  text += "# TYPE " + name + ' ' + type + '\n';
}

template <typename T>
void RenderSimple(std::string& text, const std::map<std::string, family<T>>& families,
                  const char* type) {
  for (const auto& [name, series] : families) {
    RenderType(text, name, type);
    for (const auto& [labels, value] : series) {
      text += name + Braced(labels) + ' ' + NumberText(value) + '\n';
    }
  }
}

void RenderLatency(std::string& text, const std::string& name, const std::string& labels,
                   const latency_series& series) {
  const auto& axis = series.buckets.axis();
  auto cumulative = static_cast<std::uint64_t>(series.buckets.at(-1));
  text += name + "_bucket" + WithEdge(labels, EdgeText(kFirstEdgeS)) + ' ' +
          NumberText(cumulative) + '\n';
  for (int index = 0; index < axis.size(); ++index) {
    cumulative += static_cast<std::uint64_t>(series.buckets.at(index));
    text += name + "_bucket" + WithEdge(labels, EdgeText(axis.bin(index).upper())) + ' ' +
            NumberText(cumulative) + '\n';
  }
  text += name + "_bucket" + WithEdge(labels, "+Inf") + ' ' + NumberText(series.count) + '\n';
  text += name + "_sum" + Braced(labels) + ' ' + NumberText(series.sum) + '\n';
  text += name + "_count" + Braced(labels) + ' ' + NumberText(series.count) + '\n';
}

}  // namespace

struct metrics_registry::state {
  std::map<std::string, family<std::uint64_t>> counters;
  std::map<std::string, family<double>> gauges;
  std::map<std::string, family<latency_series>> latencies;
};

metrics_registry::metrics_registry() : state_(std::make_unique<state>()) {}
metrics_registry::~metrics_registry() = default;

void metrics_registry::Count(const std::string& name, const metric_labels& labels,
                             std::uint64_t by) {
  state_->counters[name][LabelText(labels)] += by;
}

void metrics_registry::Set(const std::string& name, const metric_labels& labels, double value) {
  state_->gauges[name][LabelText(labels)] = value;
}

void metrics_registry::Observe(const std::string& name, const metric_labels& labels,
                               microseconds value) {
  latency_series& series = state_->latencies[name][LabelText(labels)];
  const double in_seconds = std::chrono::duration<double>(value).count();
  series.buckets(in_seconds);
  series.sum += in_seconds;
  ++series.count;
}

std::string metrics_registry::Render() const {
  std::string text;
  RenderSimple(text, state_->counters, "counter");
  RenderSimple(text, state_->gauges, "gauge");
  for (const auto& [name, series] : state_->latencies) {
    RenderType(text, name, "histogram");
    for (const auto& [labels, latency] : series) {
      RenderLatency(text, name, labels, latency);
    }
  }
  return text;
}

}  // namespace jacinthspool
