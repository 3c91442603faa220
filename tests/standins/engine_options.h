#ifndef JACINTHSPOOL_TESTS_STANDINS_ENGINE_OPTIONS_H_
#define JACINTHSPOOL_TESTS_STANDINS_ENGINE_OPTIONS_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "jacinthspool/impl/time.h"

namespace jacinthspool::standins {

struct engine_options {
  std::string name;
  std::string kv_address;  ///< From which other engines read KV caches, ip:port.
  std::uint32_t pieces = 20;
  std::uint32_t piece_tokens = 4096;
  std::uint32_t max_running = 20;
  double prefill_tokens_per_s = 20000;
  microseconds step = milliseconds(25);
  double step_growth = 0.01;  ///< Increase of the step for each further sequence, as a share of it.
  double kv_bytes_per_token = 131072;
  double link_bytes_per_s = 12.5e9;
  microseconds kv_life = milliseconds(800);
  std::uint32_t prefix_cache_tokens = 65536;
  microseconds load_lag = milliseconds(500);
  bool check_fencing = false;
  bool abort_on_disconnect = false;
  double time_scale = 1;

  [[nodiscard]] microseconds Scaled(microseconds value) const {
    return microseconds(
        static_cast<microseconds::rep>(static_cast<double>(value.count()) * time_scale));
  }
  [[nodiscard]] microseconds ScaledSeconds(double value) const {
    constexpr double kMicrosecondsPerSecond = 1e6;
    return microseconds(
        static_cast<microseconds::rep>(value * kMicrosecondsPerSecond * time_scale));
  }
  [[nodiscard]] std::uint32_t PiecesFor(std::uint32_t tokens) const {
    return std::max(1U, (tokens + piece_tokens - 1) / piece_tokens);
  }
};

/// \brief Faults that `POST /standin/faults` sets.
struct engine_faults {
  std::uint32_t ignore_cancels = 0;    ///< Number of cancels without effect.
  std::uint32_t cut_streams = 0;       ///< Number of streams to abort...
  std::uint32_t truncate_streams = 0;  ///< ...or to end regularly, but without their last events...
  std::uint32_t cut_after_tokens = 0;  ///< ...after this many tokens.
  bool stall_transfer = false;         ///< KV reads are not answered.
  bool stall_decode = false;           ///< Decode steps are suspended.
  bool stall_prefill = false;          ///< Prefills do not finish.
  std::uint32_t slow_ms = 0;           ///< Delay before a request is admitted.
  int refuse = 0;  ///< HTTP status with which all requests are rejected; 0 for none.
  std::uint32_t drop_prefills = 0;  ///< Number of finished prefills that are not answered.
  bool die = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_faults, ignore_cancels, cut_streams,
                                                truncate_streams, cut_after_tokens, stall_transfer,
                                                stall_decode, stall_prefill, slow_ms, refuse,
                                                drop_prefills, die)

/// \brief Counters of one engine, for tests and measurements.
struct engine_counters {
  std::uint64_t prefills = 0;
  std::uint64_t prefill_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t kv_read = 0;
  std::uint64_t kv_tokens_read = 0;
  std::uint64_t kv_expired = 0;
  std::uint64_t decodes = 0;
  std::uint64_t decode_tokens = 0;
  std::uint64_t refused_without_room = 0;
  std::uint64_t refused_by_fencing = 0;
  std::uint64_t aborts = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_counters, prefills, prefill_tokens,
                                                cached_tokens, kv_read, kv_tokens_read, kv_expired,
                                                decodes, decode_tokens, refused_without_room,
                                                refused_by_fencing, aborts)

/// \brief Memory of one engine, allocated in pieces.
class piece_pool {
 public:
  explicit piece_pool(std::uint32_t total) : total_(total) {}
  bool Allocate(std::uint32_t pieces) {
    if (held_ + pieces > total_) {
      return false;
    }
    held_ += pieces;
    return true;
  }
  void Free(std::uint32_t pieces) { held_ -= pieces; }
  [[nodiscard]] std::uint32_t total() const { return total_; }
  [[nodiscard]] std::uint32_t held() const { return held_; }

 private:
  std::uint32_t total_;
  std::uint32_t held_ = 0;
};

/// \brief State of one engine that its prefill and decode stages share.
struct engine_state {
  explicit engine_state(engine_options settings)
      : options(std::move(settings)), memory(options.pieces) {}

  engine_options options;
  engine_faults faults;
  engine_counters counters;
  piece_pool memory;
};

/// \brief Uses up one occurrence of a counted fault. \returns false if none is left.
inline bool ConsumeFault(std::uint32_t& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_ENGINE_OPTIONS_H_
