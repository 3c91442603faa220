#ifndef JACINTHSPOOL_IMPL_WIRE_TIME_H_
#define JACINTHSPOOL_IMPL_WIRE_TIME_H_

#include <chrono>

#include "jacinthspool/impl/ids.h"

/// \file
/// \brief Conversions between schema structs and native types.

namespace jacinthspool::wire {
struct duration;
struct request_id;
struct grant_id;
}  // namespace jacinthspool::wire

namespace flatbuffers {
jacinthspool::wire::duration Pack(const std::chrono::microseconds& value);
std::chrono::microseconds UnPack(const jacinthspool::wire::duration& value);
jacinthspool::wire::request_id Pack(const jacinthspool::request_id& value);
jacinthspool::request_id UnPack(const jacinthspool::wire::request_id& value);
jacinthspool::wire::grant_id Pack(const jacinthspool::grant_id& value);
jacinthspool::grant_id UnPack(const jacinthspool::wire::grant_id& value);
}  // namespace flatbuffers

#endif  // JACINTHSPOOL_IMPL_WIRE_TIME_H_
