#ifndef JACINTHSPOOL_FORWARD_H_
#define JACINTHSPOOL_FORWARD_H_

/// \file
/// \brief Forward declarations of the library's types.

namespace jacinthspool {

struct attempt_id;
struct boot_clock;
struct grant_id;
struct request_id;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_FORWARD_H_
