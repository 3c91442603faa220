#ifndef JACINTHSPOOL_GATEWAY_WIRE_DIALECT_H_
#define JACINTHSPOOL_GATEWAY_WIRE_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/crash_suspect.h"
#include "jacinthspool/routing/rate_statement.h"
#include "jacinthspool/routing/stage_orders.h"
#include "jacinthspool/routing/tenants.h"
#include "src/transport/http1_reader.h"

namespace jacinthspool {

/// \brief Size of a model request, as stated by the caller.
struct model_work {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::uint64_t expected_output_tokens = 0;  ///< The caller's estimate; often inaccurate.
};

/// \brief A caller's request, independent of the dialect.
struct forward_request {
  std::string id = {};  ///< Given by the caller, new for each of its attempts.
  std::string method = {};
  std::string target = {};
  std::string host = {};
  std::optional<milliseconds> time_left = {};  ///< How long the caller will wait.
  std::optional<std::uint64_t> resume_after =
      {};  ///< The caller has received the stream up to this event.
  /// Id of the attempt that brought the stream's first event; empty: not stated, or not once.
  std::string stream_id = {};
  std::optional<model_work> model = {};
  /// Ids of the parts of the prompt that other requests may share, in order.
  std::vector<std::uint64_t> shared_parts = {};
  bool parts_unreadable = false;  ///< The parts are stated, but in no valid form.
  http_headers passed = {};       ///< Headers that are forwarded unchanged.
  /// Digest of the caller's API key; nothing: none, or not a single one.
  std::optional<key_digest> key = {};
  /// Headers about the caller, which are forwarded only where no tenants are configured.
  http_headers credentials = {};
  std::string body = {};
  request_digest digest = {};  ///< Of what stays the same when its caller sends it again.
};

/// \brief Fields that are added to a request for one attempt.
struct attempt_fields {
  std::string backend_id = {};  ///< Any other backend server must reject the request.
  milliseconds time_left{};
  std::optional<std::uint64_t> resume_after = {};
  bool prefill_only = false;   ///< Only prefill the prompt and keep its KV cache.
  std::string kv_source = {};  ///< Location of the prompt's KV cache; empty: none.
  std::string hold = {};       ///< Reservation at the backend server; empty: none.
  /// Name of the caller's tenant; empty on a public route; nothing: no tenants are configured.
  std::optional<std::string> tenant = {};
};

/// \brief Which request a reply states that it answers.
enum class reply_origin {
  kThisRequest,     ///< It has this request's id.
  kAnotherRequest,  ///< It has another id.
  kUnstated,        ///< It has no id.
};

/// \brief Decides whether a reply can be believed to answer the present request.
///
/// A reply without an id may be a late copy of an earlier one, unless its connection has carried no
/// other request.
[[nodiscard]] constexpr bool AnswersRequest(reply_origin origin, bool first_on_connection) {
  return origin == reply_origin::kThisRequest ||
         (origin == reply_origin::kUnstated && first_on_connection);
}

/// \brief What the head of a backend server's reply states about the request.
struct reply_facts {
  reply_origin origin = reply_origin::kUnstated;
  bool not_run = false;  ///< The request has not run and never will there.
  bool sound = false;    ///< The reply has the marks of a genuine answer.
};

/// \brief What the head of any reply states about the backend server that sent it.
struct backend_notice {
  bool leaving = false;       ///< Accepts no new requests from now on.
  bool wrong_target = false;  ///< Is not the intended server, or not in the intended stage.
  std::optional<microseconds> back_off_for = {};  ///< Is full and accepts no request for this time.
  rate_statement rate = {};  ///< Request rate that it accepts from all gateways together.
};

/// \brief Encodes and decodes the platform's HTTP messages to callers and backend servers.
///
/// Only translates; all decisions are made by the gateway.
class wire_dialect {
 public:
  virtual ~wire_dialect() = default;

  /// \returns The request without its body, or nothing when a header that the dialect defines has
  /// no valid value.
  [[nodiscard]] virtual std::optional<forward_request> DecodeRequest(
      const http1_head& head) const = 0;

  /// \returns The bytes of the request for one attempt, body included.
  [[nodiscard]] virtual std::string EncodeAttempt(const forward_request& request,
                                                  const attempt_fields& fields) const = 0;

  [[nodiscard]] virtual reply_facts DecodeReply(const http1_head& head,
                                                const forward_request& request) const = 0;

  /// \returns true when a reply to a call without an id has one, so that it answers another
  /// request.
  [[nodiscard]] virtual bool HasRequestId(const http1_head& head) const = 0;

  /// \brief Decodes what a reply to any request states about its server.
  [[nodiscard]] virtual backend_notice DecodeNotice(const http1_head& head) const = 0;

  /// \brief Decodes the reply to an attempt that only prefills.
  /// \returns The handle of the KV cache, or nothing when the reply holds none.
  [[nodiscard]] virtual std::optional<std::string> DecodePrefill(std::string_view body) const = 0;

  /// \returns The value of `attempt_fields::kv_source` for a KV handle of a backend server.
  [[nodiscard]] virtual std::string KvSource(std::string_view address,
                                             std::string_view handle) const = 0;

  /// \returns The bytes of a request that releases a prompt's KV cache.
  [[nodiscard]] virtual std::string EncodeRelease(std::string_view address,
                                                  std::string_view handle) const = 0;

  /// \returns The bytes of a request for a reservation in a decode engine.
  [[nodiscard]] virtual std::string EncodeReservation(std::string_view address,
                                                      std::string_view backend_id,
                                                      std::uint64_t tokens,
                                                      milliseconds life) const = 0;
  /// \returns The engine's id of the reservation, or nothing when the body has none.
  [[nodiscard]] virtual std::optional<std::string> DecodeReservation(
      std::string_view body) const = 0;
  /// \returns The bytes of a request that releases a reservation.
  [[nodiscard]] virtual std::string EncodeReservationRelease(std::string_view address,
                                                             std::string_view hold) const = 0;

  /// \returns The bytes of an order to an engine to change its stage.
  [[nodiscard]] virtual std::string EncodeStageOrder(const stage_order& order,
                                                     std::string_view holder) const = 0;

  /// \returns Headers of a rejection with Retry-After.
  [[nodiscard]] virtual http_headers RejectionHeaders(milliseconds retry_after) const = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_WIRE_DIALECT_H_
