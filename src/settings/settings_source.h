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

/// \brief Feeds a settings store from where the process settings say: the
/// process file itself, or the configuration service (Consul's KV protocol,
/// blocking queries). A service that is down is asked again with backoff.
///
/// A file is read before the constructor returns.
class settings_source {
 public:
  /// \brief When the configuration service is read.
  struct pacing {
    /// How long the service may keep a watcher's query waiting.
    seconds wait = seconds(10);
    /// The least time between two queries of a watcher.
    microseconds watch_pause = milliseconds(200);
    /// The mean time between two reads of a process that is no watcher.
    microseconds poll_period = seconds(600);
    /// How often a process asks itself whether it is a watcher now.
    microseconds role_period = seconds(10);
    /// First reads are spread over this time, in which peers may be faster.
    microseconds start_spread = seconds(2);
    /// First and last delay before a service that failed is read again.
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
    pacing times = {};
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
