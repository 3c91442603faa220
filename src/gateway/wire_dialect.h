#ifndef JACINTHSPOOL_GATEWAY_WIRE_DIALECT_H_
#define JACINTHSPOOL_GATEWAY_WIRE_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/backend_list.h"
#include "src/transport/http1_reader.h"

namespace jacinthspool {

/// \brief What a request for a model says of its size.
struct model_work {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::uint64_t expected_output_tokens = 0;  ///< The caller's guess; often far off.
};

/// \brief A caller's request in the product's terms.
struct forward_request {
  std::string id = {};  ///< The caller's, new for each of its tries.
  std::string method = {};
  std::string target = {};
  std::string host = {};
  std::optional<milliseconds> time_left = {};      ///< How long the caller will wait.
  std::optional<std::uint64_t> resume_after = {};  ///< The caller has the stream up to this event.
  std::optional<model_work> model = {};
  http_headers passed = {};  ///< Headers that go to the backend server as they came.
  std::string body = {};
};

/// \brief What is added to a request for one attempt.
struct attempt_fields {
  std::string backend_id = {};  ///< Any other backend server must refuse.
  milliseconds time_left{};
  std::optional<std::uint64_t> resume_after = {};
  bool prefill_only = false;   ///< Only read the prompt and keep its KV cache.
  std::string kv_source = {};  ///< Where the prompt's KV cache waits; empty: nowhere.
  std::string hold = {};       ///< Room that the backend server keeps for it; empty: none.
};

/// \brief What the head of a backend server's reply says of the request.
struct reply_facts {
  bool same_request = false;  ///< It answers the request that was sent.
  bool not_run = false;       ///< The request has not run and never will there.
  bool sound = false;         ///< It bears what every genuine answer bears.
};

/// \brief What the head of any reply says of the backend server that gave it.
struct backend_notice {
  bool leaving = false;   ///< It takes no new work from now on.
  bool mistaken = false;  ///< It is not the one that was meant, or not in the stage that was.
  std::optional<microseconds> quiet_for = {};  ///< It is full and wants no request for so long.
};

/// \brief How callers and backend servers spell what the gateway needs.
///
/// Translates only; every decision is the gateway's.
class wire_dialect {
 public:
  virtual ~wire_dialect() = default;

  /// \returns Nothing when a header that the dialect defines has no valid value.
  [[nodiscard]] virtual std::optional<forward_request> DecodeRequest(
      const http1_head& head) const = 0;

  /// \returns The bytes of the request for one attempt, body included.
  [[nodiscard]] virtual std::string EncodeAttempt(const forward_request& request,
                                                  const attempt_fields& fields) const = 0;

  [[nodiscard]] virtual reply_facts DecodeReply(const http1_head& head,
                                                const forward_request& request) const = 0;

  /// \brief Reads what a reply to any request says of its server.
  [[nodiscard]] virtual backend_notice DecodeNotice(const http1_head& head) const = 0;

  /// \brief Reads the reply to an attempt that only prefills.
  /// \returns The handle of the KV cache, or nothing when the reply holds none.
  [[nodiscard]] virtual std::optional<std::string> DecodePrefill(std::string_view body) const = 0;

  /// \returns What `attempt_fields::kv_source` holds for a handle of a backend server.
  [[nodiscard]] virtual std::string KvSource(std::string_view address,
                                             std::string_view handle) const = 0;

  /// \returns The bytes of a request that frees a prompt's KV cache.
  [[nodiscard]] virtual std::string EncodeRelease(std::string_view address,
                                                  std::string_view handle) const = 0;

  /// \returns The bytes of a request that asks a decode engine to keep room.
  [[nodiscard]] virtual std::string EncodeHold(std::string_view address,
                                               std::string_view backend_id, std::uint64_t tokens,
                                               milliseconds life) const = 0;
  /// \returns The engine's name for the room, or nothing when the body holds none.
  [[nodiscard]] virtual std::optional<std::string> DecodeHold(std::string_view body) const = 0;
  /// \returns The bytes of a request that gives such room back.
  [[nodiscard]] virtual std::string EncodeHoldRelease(std::string_view address,
                                                      std::string_view hold) const = 0;

  /// \returns The bytes of an order that makes an engine change its stage.
  /// \param fence Rises with every order that one engine gets.
  [[nodiscard]] virtual std::string EncodeStageOrder(std::string_view address,
                                                     std::string_view backend_id,
                                                     engine_stage stage, std::string_view holder,
                                                     std::uint64_t fence) const = 0;

  /// \returns Headers of a refusal that says when to come back.
  [[nodiscard]] virtual http_headers RefusalHeaders(milliseconds come_back_in) const = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_WIRE_DIALECT_H_
