#ifndef JACINTHSPOOL_TESTS_PLATFORM_COUNTING_LISTENER_H_
#define JACINTHSPOOL_TESTS_PLATFORM_COUNTING_LISTENER_H_

#include <memory>
#include <string>
#include <vector>

#include "src/gateway/discovery.h"

namespace jacinthspool {

/// \brief Counts the lists and the losses of a publisher.
struct counting_listener : discovery_listener {
  int lists = 0;
  int lost = 0;

  void OnConfiguration(std::shared_ptr<const forward_configuration> /*next*/) override {}
  void OnBackends(std::vector<backend_record> /*records*/, store_position /*at*/) override {
    ++lists;
  }
  void OnBackendPut(backend_record /*record*/) override {}
  void OnBackendRemoved(const std::string& /*id*/, store_position /*at*/) override {}
  void OnPublisherLost(const std::string& /*reason*/) override { ++lost; }
  void OnPublisherRegained() override {}
  void OnBackendsConfirmed(instant /*sent*/) override {}
  void OnConfigurationLost() override {}
  void OnConfigurationRegained() override {}
  void OnConfigurationConfirmed(instant /*sent*/) override {}
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_PLATFORM_COUNTING_LISTENER_H_
