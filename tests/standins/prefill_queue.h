#ifndef JACINTHSPOOL_TESTS_STANDINS_PREFILL_QUEUE_H_
#define JACINTHSPOOL_TESTS_STANDINS_PREFILL_QUEUE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "tests/standins/common.h"
#include "tests/standins/engine_options.h"
#include "tests/standins/prefix_cache.h"

namespace jacinthspool::standins {

/// \brief Prefill stage of one engine: runs one prefill at a time, by priority, and keeps the KV
/// caches until they are read or expire.
class prefill_queue {
 public:
  prefill_queue(standin_context context, engine_state& state);

  /// \brief Accepts a request. Replies with 429 if the free memory is too small.
  void Admit(const std::string& request, std::uint32_t priority, exchange_ptr exchange);

  /// \brief Aborts the request's prefills and frees its KV caches.
  void Abort(const std::string& request);

  /// \brief Answers another engine's read after the transfer time on the outgoing link.
  void ReadKv(const std::string& id, exchange_ptr exchange);

  /// \brief Starts the next prefill, if none is running.
  void StartNext();

  [[nodiscard]] std::uint32_t PiecesOf(const std::string& request) const;
  void List(nlohmann::json& requests) const;
  [[nodiscard]] std::size_t waiting() const {
    return jobs_.size() - (running_ ? 1 : 0) - retained();
  }
  [[nodiscard]] bool running() const { return running_.has_value(); }

 private:
  enum class job_state { kWaiting, kRunning, kRetained, kBeingRead };
  struct job {
    std::string request;
    std::uint32_t priority = 0;
    exchange_ptr exchange = {};
    std::string prompt = {};
    std::uint32_t tokens = 0;
    std::uint32_t cached = 0;
    std::uint32_t pieces = 0;
    job_state state = job_state::kWaiting;
    timer_subscription timer = {};
  };
  using job_id = std::uint64_t;

  void Finish(job_id id);
  void Expire(job_id id);
  void SendKv(job_id id);
  void Drop(job_id id);
  [[nodiscard]] std::size_t retained() const;

  standin_context context_;
  engine_state& state_;
  prefix_cache cache_;
  std::map<job_id, job> jobs_;  ///< The key is the id of the KV cache, too.
  job_id last_id_ = 0;
  std::optional<job_id> running_;
  instant link_free_at_{};
};

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_PREFILL_QUEUE_H_
