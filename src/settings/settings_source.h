#ifndef JACINTHSPOOL_SETTINGS_SETTINGS_SOURCE_H_
#define JACINTHSPOOL_SETTINGS_SETTINGS_SOURCE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "src/settings/settings_store.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Reads documents into a settings store from the source that the process
/// settings name: the process file itself, or the configuration service
/// (Consul's KV protocol, blocking queries).
///
/// A file is read before the constructor returns. Reads of a service that fail
/// are retried with backoff.
class settings_source {
 public:
  /// \brief Timing of the reads of the configuration service.
  struct read_timing {
    /// Longest wait of a watcher's blocking query.
    seconds wait = seconds(10);
    /// The least time between two queries of a watcher.
    microseconds watch_pause = milliseconds(200);
    /// Mean time between two reads of a process that is not a watcher.
    microseconds poll_period = seconds(600);
    /// Period at which a process checks whether it has become a watcher.
    microseconds role_period = seconds(10);
    /// First reads are spread over this time; a peer may send the settings earlier.
    microseconds start_spread = seconds(2);
    /// First and largest delay of a retry after a failure.
    microseconds first_backoff = milliseconds(200);
    microseconds last_backoff = seconds(10);
  };

  struct options {
    event_loop& loop;
    timer_service& timers;
    http_client& client;
    settings_store& store;
    std::shared_ptr<const process_settings> process;
    std::string process_file;  ///< Read again on Reload, for a source of kind "file".
    read_timing times = {};
  };
  explicit settings_source(options settings);
  ~settings_source();

  /// \brief Reads the source again (SIGHUP).
  void Reload();

  /// \returns Calls made to the configuration service so far.
  [[nodiscard]] std::uint64_t calls() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_SETTINGS_SOURCE_H_
