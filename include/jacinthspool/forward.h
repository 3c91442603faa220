#ifndef JACINTHSPOOL_FORWARD_H_
#define JACINTHSPOOL_FORWARD_H_

/// \file
/// \brief Forward declarations of the library's types.

namespace jacinthspool {

class agent_core;
class backoff;
class drain;
class entry_core;
class fair_share;
class grant_table;
class lease_clock;
class memory_ledger;
class prefill_queue;
class prefix_view;
class retry_budget;
class run_ledger;
class stream_assembler;
struct agent_policy;
struct attempt_hash;
struct attempt_id;
struct boot_clock;
struct caller_request;
struct decision;
struct decision_candidate;
struct entry_policy;
struct grant_id;
struct pool_member;
struct pool_view;
struct predicted_release;
struct prefill_job;
struct request_id;
struct run_key;
struct free_capacity;
struct pending_reservation;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_FORWARD_H_
