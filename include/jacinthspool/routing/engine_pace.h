#ifndef JACINTHSPOOL_ROUTING_ENGINE_PACE_H_
#define JACINTHSPOOL_ROUTING_ENGINE_PACE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/crash_report.h"

namespace jacinthspool {

/// \brief What one gateway has measured at one engine, as of its last sample.
struct pace_report {
  std::uint32_t reporter = 0;  ///< Digest of the gateway's name.
  /// Grows with each report of a reporter; two reports with one number are the same report.
  std::uint64_t number = 0;
  double event_us = 0;  ///< Mean time between events of a stream, recent samples first.
  double events = 0;    ///< That the mean stands for.
  instant made{};       ///< Of the last sample, on the clock of this process.
};

/// \brief The reports about one incarnation of a server, one of each reporter.
struct server_pace {
  backend_incarnation server = {};
  std::vector<pace_report> reports = {};
};

/// \brief A belief that has changed by half since it was last stated.
struct pace_change {
  std::string backend = {};
  microseconds before{};  ///< Between events.
  microseconds after{};
  std::size_t reporters = 0;
  double events = 0;
  microseconds age{};  ///< Of the newest report.
};

/// \brief Learns the time between events of each engine, from all gateways.
///
/// Load: engines of unlike speed, each seen by one gateway too rarely to judge it. Each gateway
/// measures the streams that it forwards and passes on the newest reports of all.
///
/// A report replaces an older one of the same reporter and is never added to it, so that no
/// sample counts twice whichever way it came; merging is associative, commutative and idempotent.
/// A server's belief is the weighted median of its reporters, so that one gateway's bad link does
/// not count as the server's, drawn to the mean of its service while little is known.
class engine_pace {
 public:
  struct options {
    std::string reporter;                               ///< Name of this gateway.
    microseconds sample_half_life = milliseconds(400);  ///< Of samples in a reporter's mean.
    microseconds fresh_half_life = milliseconds(700);   ///< Of a report's weight among reporters.
    microseconds doubt_half_life = seconds(30);         ///< Of the evidence against the mean.
    microseconds memory = seconds(120);                 ///< After which a report is dropped.
    double doubt_events = 2;                  ///< Evidence that the service's mean stands for.
    double most_events = 64;                  ///< Of one report.
    std::size_t most_reporters = 3;           ///< Kept for a server: the newest.
    microseconds period = milliseconds(200);  ///< In which the beliefs are calculated anew.
    /// Of the speed in the share. Above 1, since an engine that is full denies by itself.
    double speed_power = 3;
    /// Bound of a share, and of its inverse: a slow server is still measured, and no server is
    /// chosen by all gateways.
    double most_share = 6;
    /// How long the reports of a server whose belief has changed by half are passed on first.
    microseconds news_life = seconds(3);
  };

  explicit engine_pace(options settings);

  /// \brief Records part of a stream.
  /// \param events That arrived after its first one.
  /// \param taken From the event before these to the last of them.
  void Record(const backend_record& server, double events, microseconds taken, instant now);

  /// \brief Adds what another gateway knows.
  void Merge(const std::vector<server_pace>& others, instant now);

  /// \brief Drops old reports and those of servers or incarnations that are not listed, and
  /// calculates the beliefs if they are older than the period.
  /// \returns The beliefs that have changed by half since they were last returned.
  std::vector<pace_change> Update(const std::map<std::string, backend_record>& listed, instant now);

  /// \brief Chooses reports to pass on: changes first, then others at random.
  [[nodiscard]] std::vector<server_pace> News(std::size_t most_servers, std::uint64_t random,
                                              instant now) const;

  /// \returns true while some belief has changed lately, which others should know soon.
  [[nodiscard]] bool HasNews(instant now) const { return now < news_until_; }

  /// \returns The reports about one incarnation, by reporter.
  [[nodiscard]] std::vector<pace_report> Reports(const backend_incarnation& server) const;

  /// \returns How often the server should be drawn, in relation to the others of its service: by a
  /// power of its speed within bounds, a server that nobody has measured like the mean; nothing
  /// when no server of the service is known.
  [[nodiscard]] std::optional<double> Share(const backend_record& server) const;

  /// \returns The time between events that is believed of the server; nothing: unknown.
  [[nodiscard]] std::optional<microseconds> EventTime(const std::string& id) const;
  [[nodiscard]] std::size_t known() const { return beliefs_.size(); }

 private:
  struct belief {
    double event_us = 0;
    double stated_us = 0;  ///< As last returned as a change.
    instant changed{};     ///< By half.
  };
  struct evidence {
    double median_us = 0;
    double events = 0;
  };

  void Insert(std::vector<pace_report>& reports, const pace_report& report) const;
  [[nodiscard]] evidence Weigh(const std::vector<pace_report>& reports, instant now) const;

  options settings_;
  std::uint32_t self_;
  std::map<backend_incarnation, std::vector<pace_report>> servers_ = {};
  std::map<std::string, belief> beliefs_ = {};
  std::map<std::string, double, std::less<>> means_us_ = {};  ///< By service.
  instant calculated_{};
  instant news_until_{};
};

/// \brief Measures one stream piece by piece, so that a change is known before the stream ends.
///
/// Events that arrive together count as one piece with the time since the piece before.
class stream_pace {
 public:
  struct options {
    microseconds piece = milliseconds(400);
    std::uint64_t least_events = 2;
  };
  struct sample {
    double events = 0;
    microseconds taken{};
  };

  /// \param last_event Number of the newest event of the stream.
  /// \returns A sample when a piece is complete.
  std::optional<sample> OnEvents(const std::string& server, std::uint64_t last_event, instant now);

 private:
  options settings_ = {};
  std::string server_ = {};
  std::uint64_t first_event_ = 0;
  instant since_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_ENGINE_PACE_H_
