#ifndef JACINTHSPOOL_FORWARD_H_
#define JACINTHSPOOL_FORWARD_H_

/// \file
/// \brief Forward declarations of the library's types.

namespace jacinthspool {

class backoff;
class entry_core;
class retry_budget;
class stream_assembler;
struct attempt_id;
struct boot_clock;
struct caller_request;
struct decision;
struct entry_policy;
struct grant_id;
struct pool_member;
struct pool_view;
struct request_id;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_FORWARD_H_
