#include "src/settings/consul_reply.h"

#include <sodium.h>
#include <strings.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace jacinthspool {
namespace {

constexpr const char* kIndexHeader = "X-Consul-Index";

std::optional<std::string> DecodeBase64(const std::string& encoded) {
  std::string decoded(encoded.size(), '\0');
  std::size_t length = 0;
  const int status = sodium_base642bin(reinterpret_cast<unsigned char*>(decoded.data()),
                                       decoded.size(), encoded.data(), encoded.size(), nullptr,
                                       &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (status != 0) {
    return std::nullopt;
  }
  decoded.resize(length);
  return decoded;
}

/// \returns The path below the root, or nothing.
std::optional<std::string> PathBelow(std::string_view root, const std::string& key) {
  if (key.size() <= root.size() + 1 || !key.starts_with(root) || key[root.size()] != '/') {
    return std::nullopt;
  }
  return key.substr(root.size() + 1);
}

std::optional<published_document> ParseMember(const nlohmann::json& member, std::string_view root) {
  const auto key = member.find("Key");
  const auto value = member.find("Value");
  if (key == member.end() || value == member.end() || !key->is_string() || !value->is_string()) {
    return std::nullopt;
  }
  const std::optional<std::string> path = PathBelow(root, key->get_ref<const std::string&>());
  const std::optional<std::string> text = DecodeBase64(value->get_ref<const std::string&>());
  if (!path || !text) {
    return std::nullopt;
  }
  return published_document{.path = *path, .text = *text};
}

}  // namespace

std::optional<std::vector<published_document>> ParseConsulReply(std::string_view body,
                                                                std::string_view root) {
  const nlohmann::json reply = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!reply.is_array()) {
    return std::nullopt;
  }
  std::vector<published_document> documents;
  for (const nlohmann::json& member : reply) {
    if (!member.is_object()) {
      return std::nullopt;
    }
    if (auto document = ParseMember(member, root)) {
      documents.push_back(*std::move(document));
    }
  }
  return documents;
}

std::uint64_t ConsulIndex(const http_headers& headers) {
  for (const auto& [name, value] : headers) {
    if (strcasecmp(name.c_str(), kIndexHeader) == 0) {
      std::uint64_t index = 0;
      std::from_chars(value.data(), value.data() + value.size(), index);
      return index;
    }
  }
  return 0;
}

}  // namespace jacinthspool
