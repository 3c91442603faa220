#ifndef JACINTHSPOOL_TESTS_STANDINS_DECODE_BATCH_H_
#define JACINTHSPOOL_TESTS_STANDINS_DECODE_BATCH_H_

#include <cstdint>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/standins/common.h"
#include "tests/standins/engine_options.h"

namespace jacinthspool::standins {

/// \brief Decode stage of one engine: continuous batching, with one token per step and sequence.
class decode_batch {
 public:
  decode_batch(standin_context context, engine_state& state);

  /// \brief Accepts a request: allocates its memory, fetches its KV cache, then adds it to the
  /// batch. Replies with 429 if the free memory is too small.
  void Admit(const std::string& request, std::uint32_t priority, exchange_ptr exchange);

  /// \brief Aborts the request's sequences and frees their memory.
  void Abort(const std::string& request);

  /// \brief Continues decoding after a stall.
  void Resume();

  [[nodiscard]] std::uint32_t PiecesOf(const std::string& request) const;
  void List(nlohmann::json& requests) const;
  [[nodiscard]] std::size_t running() const;
  [[nodiscard]] std::size_t waiting() const { return sequences_.size() - running(); }

 private:
  enum class sequence_state { kTransfer, kReady, kRunning };
  struct sequence {
    std::uint64_t id = 0;
    std::string request;
    std::uint32_t priority = 0;
    exchange_ptr exchange = {};
    std::uint32_t max_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t pieces = 0;
    std::uint64_t seed = 0;
    std::uint32_t produced = 0;
    sequence_state state = sequence_state::kTransfer;
    std::unique_ptr<http_call> transfer = {};
    timer_subscription transfer_limit = {};
  };
  using position = std::list<sequence>::iterator;

  void Transfer(sequence& added, const nlohmann::json& params, microseconds limit);
  void TransferDone(std::uint64_t id, const http_response& response);
  void Fail(std::uint64_t id, int status, const std::string& why);
  void FillBatch();
  void ScheduleStep();
  void Step();
  /// \returns true when the sequence has ended.
  bool Produce(sequence& each);
  void Drop(position at);
  [[nodiscard]] position Find(std::uint64_t id);

  standin_context context_;
  engine_state& state_;
  std::list<sequence> sequences_;
  std::uint64_t last_id_ = 0;
  timer_subscription step_timer_;
};

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_DECODE_BATCH_H_
