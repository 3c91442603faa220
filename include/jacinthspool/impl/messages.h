#ifndef JACINTHSPOOL_IMPL_MESSAGES_H_
#define JACINTHSPOOL_IMPL_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "jacinthspool/impl/ids.h"
#include "schema/generated/messages_generated.h"

namespace jacinthspool {

using wire::refusal_reason;
using wire::run_state;
using wire::work_kind;

using agent_load = wire::agent_load_value;
using answer_ack = wire::answer_ack_value;
using answer_end = wire::answer_end_value;
using answer_failed = wire::answer_failed_value;
using call_answer = wire::call_answer_value;
using call_request = wire::call_request_value;
using cancel_order = wire::cancel_value;
using cancelled = wire::cancelled_value;
using grant_offer = wire::grant_offer_value;
using grant_release = wire::grant_release_value;
using grant_request = wire::grant_request_value;
using header_field = wire::header_field_value;
using heartbeat = wire::heartbeat_value;
using hello = wire::hello_value;
using hello_accepted = wire::hello_accepted_value;
using kv_handle = wire::kv_handle_value;
using piece = wire::piece_value;
using prefill_done = wire::prefill_done_value;
using refused = wire::refused_value;
using resume = wire::resume_value;
using seal = wire::seal_value;
using sealed = wire::sealed_value;
using seat_update = wire::seat_update_value;
using settings_document = wire::settings_document_value;
using settings_documents = wire::settings_documents_value;
using settings_fetch = wire::settings_fetch_value;
using settings_versions = wire::settings_versions_value;
using start_order = wire::start_value;
using started = wire::started_value;
using subtree_revision = wire::subtree_revision_value;

/// \brief Any message that the processes exchange.
using message =
    std::variant<hello, hello_accepted, heartbeat, grant_request, grant_offer, refused,
                 grant_release, start_order, started, seat_update, prefill_done, piece, answer_end,
                 answer_failed, call_answer, answer_ack, resume, cancel_order, cancelled, seal,
                 sealed, settings_versions, settings_fetch, settings_documents>;

/// \brief Encodes a message as one FlatBuffers envelope.
std::vector<std::uint8_t> Encode(const message& value);

/// \brief Verifies and decodes one envelope.
/// \returns Nothing when the bytes do not verify against the schema.
std::optional<message> Decode(std::span<const std::uint8_t> bytes);

/// \returns The request that a message belongs to; nothing for control messages.
std::optional<request_id> RequestOf(const message& value);

/// \returns The schema name of the message type, for logs.
std::string_view NameOf(const message& value);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_MESSAGES_H_
