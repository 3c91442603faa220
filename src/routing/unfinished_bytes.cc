#include "jacinthspool/routing/unfinished_bytes.h"

namespace jacinthspool {
namespace {

constexpr std::size_t kLargeBodyBytes = 64U << 10U;

}  // namespace

unfinished_bytes::sending::sending(unfinished_bytes& all, const backend_record& to,
                                   std::size_t bytes)
    : all_(all), to_{to.id, to.started_ms}, bytes_(bytes) {
  if (bytes_ > 0) {
    all_.bytes_[to_] += bytes_;
  }
}

unfinished_bytes::sending::~sending() {
  const auto found = all_.bytes_.find(to_);
  if (bytes_ > 0 && (found->second -= bytes_) == 0) {
    all_.bytes_.erase(found);
  }
}

std::size_t unfinished_bytes::at(const backend_record& server) const {
  const auto found = bytes_.find({server.id, server.started_ms});
  return found == bytes_.end() ? 0 : found->second;
}

bool unfinished_bytes::IsLarge(std::size_t bytes) { return bytes >= kLargeBodyBytes; }

}  // namespace jacinthspool
