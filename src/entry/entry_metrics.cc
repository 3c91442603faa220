#include "src/entry/entry_metrics.h"

namespace jacinthspool {
namespace {

constexpr const char* kRequests = "jacinthspool_requests_total";
constexpr const char* kRejected = "jacinthspool_rejected_total";
constexpr const char* kFirstToken = "jacinthspool_first_token_seconds";
constexpr const char* kBetweenTokens = "jacinthspool_between_tokens_seconds";
constexpr const char* kCallTime = "jacinthspool_call_seconds";
constexpr const char* kPrefillTokens = "jacinthspool_prefill_tokens_total";
constexpr const char* kWastedTokens = "jacinthspool_wasted_prefill_tokens_total";
constexpr const char* kDecisions = "jacinthspool_decisions_total";

}  // namespace

void entry_metrics::Accept(instant now, const caller_request& request) {
  running_.try_emplace(request.id, running_request{.team = request.team,
                                                   .call = request.call.has_value(),
                                                   .accepted = now,
                                                   .last_piece = std::nullopt});
}

void entry_metrics::Piece(instant now, const request_id& id) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  running_request& request = found->second;
  if (request.last_piece.has_value()) {
    registry_.Observe(kBetweenTokens, {{"team", request.team}}, now - *request.last_piece);
  } else {
    registry_.Observe(kFirstToken, {{"team", request.team}}, now - request.accepted);
  }
  request.last_piece = now;
}

void entry_metrics::Prefilled(const prefill_done& done) {
  const auto found = running_.find(done.request);
  if (found == running_.end()) {
    return;
  }
  const std::uint64_t computed =
      done.prompt_tokens > done.cached_tokens ? done.prompt_tokens - done.cached_tokens : 0;
  found->second.computed_tokens += computed;
  found->second.last_computed = computed;
  registry_.Count(kPrefillTokens, {{"team", found->second.team}}, computed);
}

void entry_metrics::Finish(instant now, const request_id& id, const std::string& outcome,
                           bool done) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  const running_request& request = found->second;
  registry_.Count(kRequests, {{"team", request.team}, {"outcome", outcome}});
  const std::uint64_t used = done ? request.last_computed : 0;
  if (request.computed_tokens > used) {
    registry_.Count(kWastedTokens, {{"team", request.team}}, request.computed_tokens - used);
  }
  if (request.call && done) {
    registry_.Observe(kCallTime, {{"team", request.team}}, now - request.accepted);
  }
  running_.erase(found);
}

void entry_metrics::CountRejection(int status) {
  registry_.Count(kRejected, {{"status", std::to_string(status)}});
}

void entry_metrics::CountDecision(const decision& made) {
  registry_.Count(kDecisions, {{"decision", made.event}});
}

}  // namespace jacinthspool
