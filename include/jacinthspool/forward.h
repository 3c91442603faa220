#ifndef JACINTHSPOOL_FORWARD_H_
#define JACINTHSPOOL_FORWARD_H_

/// \file
/// \brief Forward declarations of the library's types.

namespace jacinthspool {

struct boot_clock;

struct attempt_hash;
struct attempt_id;
struct grant_id;
struct request_id;

struct decision;
struct decision_candidate;

class agent_core;
class drain;
class fair_share;
class grant_table;
class lease_clock;
class memory_ledger;
class prefill_queue;
class prefix_view;
class run_ledger;
struct agent_policy;
struct predicted_release;
struct prefill_job;
struct run_key;
struct seat_room;
struct waiting_seat;

class backoff;
class entry_core;
class retry_budget;
class stream_assembler;
struct caller_request;
struct entry_policy;
struct pool_member;
struct pool_view;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_FORWARD_H_
