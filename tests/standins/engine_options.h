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
  std::string kv_address;  ///< Where other engines read KV caches, ip:port.
  std::uint32_t pieces = 20;
  std::uint32_t piece_tokens = 4096;
  std::uint32_t max_running = 20;
  double prefill_tokens_per_s = 20000;
  microseconds step = milliseconds(25);
  double step_growth = 0.01;  ///< Longer step for each further sequence, as a share.
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

/// \brief Faults that `POST /standin/faults` switches.
struct engine_faults {
  std::uint32_t ignore_cancels = 0;    ///< This many cancels have no effect.
  std::uint32_t cut_streams = 0;       ///< This many streams break off...
  std::uint32_t truncate_streams = 0;  ///< ...or close as if whole, without their last events...
  std::uint32_t cut_after_tokens = 0;  ///< ...after so many tokens.
  bool stall_transfer = false;         ///< KV reads get no answer.
  bool stall_decode = false;           ///< No decode steps are made.
  bool stall_prefill = false;          ///< No prefill ends.
  std::uint32_t slow_ms = 0;           ///< Orders wait this long before they count.
  int refuse = 0;                      ///< Status with which all orders are refused.
  std::uint32_t drop_prefills = 0;     ///< This many finished prefills are not reported.
  bool die = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_faults, ignore_cancels, cut_streams,
                                                truncate_streams, cut_after_tokens, stall_transfer,
                                                stall_decode, stall_prefill, slow_ms, refuse,
                                                drop_prefills, die)

/// \brief What an engine has done, for tests and measurements.
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

/// \brief The engine's memory, handed out in pieces.
class piece_pool {
 public:
  explicit piece_pool(std::uint32_t total) : total_(total) {}
  bool Take(std::uint32_t pieces) {
    if (held_ + pieces > total_) {
      return false;
    }
    held_ += pieces;
    return true;
  }
  void Give(std::uint32_t pieces) { held_ -= pieces; }
  [[nodiscard]] std::uint32_t total() const { return total_; }
  [[nodiscard]] std::uint32_t held() const { return held_; }

 private:
  std::uint32_t total_;
  std::uint32_t held_ = 0;
};

/// \brief Parts of one engine that its modules share.
struct engine_parts {
  explicit engine_parts(engine_options settings)
      : options(std::move(settings)), memory(options.pieces) {}

  engine_options options;
  engine_faults faults;
  engine_counters counters;
  piece_pool memory;
};

/// \brief Counts a limited fault down. \returns true while it is on.
inline bool TakeOne(std::uint32_t& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_ENGINE_OPTIONS_H_
