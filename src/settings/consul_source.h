#ifndef JACINTHSPOOL_SETTINGS_CONSUL_SOURCE_H_
#define JACINTHSPOOL_SETTINGS_CONSUL_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "jacinthspool/impl/backoff.h"
#include "src/settings/settings_source.h"

namespace jacinthspool {

/// \brief Reads documents from a service that speaks Consul's KV protocol.
///
/// A watcher keeps one blocking query open. Every other process polls at a low
/// rate, in case no peer sends it a change.
class consul_source {
 public:
  explicit consul_source(settings_source::options settings);
  consul_source(const consul_source&) = delete;
  consul_source& operator=(const consul_source&) = delete;

  /// \brief Reads at once.
  void Reload();

  /// \returns Number of calls made to the service, including a pending one.
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  enum class outcome { kApplied, kFailed };

  void ReadAfter(microseconds delay);
  void ReadFirst();
  void ReadWhenDue(instant now);
  void Read();
  void OnReply(const http_response& response);
  outcome ApplyReply(const http_response& response);
  outcome Fail(const std::string& reason) const;
  void UpdateIndex(std::uint64_t index);
  void ScheduleNext(outcome last);
  void WaitForPoll();
  [[nodiscard]] bool IsWatching() const;
  [[nodiscard]] std::string Target() const;

  settings_source::options settings_;
  std::string root_;
  backoff delays_;
  std::size_t next_address_ = 0;
  std::uint64_t index_ = 0;
  std::uint64_t calls_ = 0;
  std::uint32_t failures_ = 0;  ///< Since the last valid reply.
  instant poll_due_{};
  std::unique_ptr<http_call> call_;
  timer_subscription timer_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_CONSUL_SOURCE_H_
