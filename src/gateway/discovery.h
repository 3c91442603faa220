#ifndef JACINTHSPOOL_GATEWAY_DISCOVERY_H_
#define JACINTHSPOOL_GATEWAY_DISCOVERY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/configuration.h"
#include "jacinthspool/routing/stage_orders.h"
#include "src/transport/event_loop.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Receives what the platform publishes.
class discovery_listener {
 public:
  virtual ~discovery_listener() = default;
  virtual void OnConfiguration(std::shared_ptr<const forward_configuration> next) = 0;
  /// \brief The complete list as of that position.
  virtual void OnBackends(std::vector<backend_record> records, store_position at) = 0;
  virtual void OnBackendPut(backend_record record) = 0;
  virtual void OnBackendRemoved(const std::string& id, store_position at) = 0;
  virtual void OnPublisherLost(const std::string& reason) = 0;
  virtual void OnPublisherRegained() = 0;
  /// \brief Every change of the servers that was published before `sent` has been reported.
  virtual void OnBackendsConfirmed(instant sent) = 0;
  /// \brief Changes of the configuration are not reported until OnConfigurationRegained.
  virtual void OnConfigurationLost() = 0;
  /// \brief Changes of the configuration are reported; called again with each answer.
  virtual void OnConfigurationRegained() = 0;
  /// \brief The newest configuration has been reported.
  /// \param sent When the call was sent whose answer shows it; of several pages, the first.
  virtual void OnConfigurationConfirmed(instant sent) = 0;
};

struct discovery_options {
  event_loop& loop;
  timer_service& timers;
  std::string publisher;      ///< ip:port
  milliseconds change_bound;  ///< Longest time from the publication of a change to its report.
  /// Period in which servers renew what they publish; 0: not known.
  milliseconds heartbeat = milliseconds(0);
  /// The configuration is confirmed several times within this, where the platform can; 0: no bound.
  milliseconds confirm_bound = milliseconds(0);
};

/// \brief Watches what the platform publishes, until it is destroyed.
class discovery_source {
 public:
  virtual ~discovery_source() = default;
  virtual void Start(discovery_listener& listener) = 0;

  /// \brief Has OnBackendsConfirmed called soon for a time after this one, if the publisher
  /// answers.
  virtual void ConfirmBackends() = 0;

  /// \brief Reads what is published about one server now.
  /// \param on_read Called once, in a later loop iteration; with nothing when the publisher has not
  /// answered. Not called after this source is destroyed.
  virtual void ReadBackend(const std::string& id,
                           std::function<void(std::optional<current_record>)> on_read) = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_DISCOVERY_H_
