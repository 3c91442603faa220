#ifndef JACINTHSPOOL_SETTINGS_CONSUL_REPLY_H_
#define JACINTHSPOOL_SETTINGS_CONSUL_REPLY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/transport/http_client.h"

namespace jacinthspool {

/// \brief One document as stored in the configuration service.
struct published_document {
  std::string path;  ///< "operators" or "teams/NAME"
  std::string text;
};

/// \brief Reads a reply to `GET /v1/kv/ROOT/?recurse`.
///
/// Skips members without a value and members outside the root.
/// \returns Nothing when the body is not such a reply.
std::optional<std::vector<published_document>> ParseConsulReply(std::string_view body,
                                                                std::string_view root);

/// \returns The value of `X-Consul-Index`, or 0.
std::uint64_t ConsulIndex(const http_headers& headers);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_CONSUL_REPLY_H_
