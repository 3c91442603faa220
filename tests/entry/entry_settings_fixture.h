#ifndef TESTS_ENTRY_ENTRY_SETTINGS_FIXTURE_H_
#define TESTS_ENTRY_ENTRY_SETTINGS_FIXTURE_H_

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "src/settings/settings_store.h"

namespace jacinthspool {

/// \brief Settings with two teams: one with access to pools, a model and two routes, one without
/// access to any pool.
inline std::shared_ptr<const settings_snapshot> TestSettings() {
  settings_store store({.on_change = nullptr, .on_findings = nullptr});
  // BLAKE2b-256 of "secret".
  REQUIRE(store.Offer("operators", R"({
    "revision": 1,
    "pools": [
      {"name": "pre", "kind": "prefill", "model": "digest", "pieces": 4, "piece_tokens": 1000,
       "backends": [{"name": "p1", "address": "127.0.0.1:1", "data_centre": "sofia-1"}]},
      {"name": "dec", "kind": "decode", "model": "digest", "pieces": 4, "piece_tokens": 1000,
       "backends": [{"name": "d1", "address": "127.0.0.1:2", "data_centre": "sofia-1"}]},
      {"name": "halls", "kind": "service",
       "backends": [{"name": "s1", "address": "127.0.0.1:3", "data_centre": "sofia-1"}]}
    ],
    "access": [{"team": "turnevo", "pools": ["pre", "dec", "halls"]}],
    "limits": {"bytes_per_token": 4, "max_output_tokens": 100}
  })"));
  const std::string team = R"("models": [{"model": "digest", "prefill_pool": "pre",
                                          "decode_pool": "dec", "priority": 2}],
    "routes": [{"name": "halls", "path_prefix": "/halls", "pool": "halls", "repeatable": false},
               {"name": "free", "path_prefix": "/halls/free", "pool": "halls"}]})";
  REQUIRE(store.Offer("teams/turnevo", R"({"revision": 1, "objective": "wasted_prefill",
    "token_hashes": ["ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e"],)" +
                                           team));
  REQUIRE(store.Offer("teams/stranger", R"({"revision": 1,)" + team));
  return store.current();
}

}  // namespace jacinthspool

#endif  // TESTS_ENTRY_ENTRY_SETTINGS_FIXTURE_H_
