#include "src/transport/key_ring.h"

#include <sodium.h>

#include <fstream>
#include <utility>

namespace jacinthspool {
namespace {

static_assert(key_ring::kKeyBytes == crypto_auth_KEYBYTES);

bool ParseKey(const std::string& line, key_ring::key& parsed) {
  std::size_t length = 0;
  const char* end = nullptr;
  const int failed = sodium_hex2bin(parsed.data(), parsed.size(), line.data(), line.size(), nullptr,
                                    &length, &end);
  return failed == 0 && length == parsed.size() && end == line.data() + line.size();
}

std::string Trimmed(const std::string& line) {
  constexpr const char* kSpace = " \t\r";
  const std::size_t first = line.find_first_not_of(kSpace);
  if (first == std::string::npos) {
    return {};
  }
  return line.substr(first, line.find_last_not_of(kSpace) + 1 - first);
}

}  // namespace

bool key_ring::Load(const std::string& path, std::string& error) {
  std::ifstream file(path);
  if (sodium_init() < 0 || !file) {
    error = "cannot read the key file " + path;
    return false;
  }
  std::vector<key> keys;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    const std::string text = Trimmed(line);
    if (text.empty() || text.front() == '#') {
      continue;
    }
    key parsed{};
    if (!ParseKey(text, parsed)) {
      error = path + ":" + std::to_string(number) + ": not a key of " +
              std::to_string(kKeyBytes * 2) + " hexadecimal digits";
      return false;
    }
    keys.push_back(parsed);
  }
  if (keys.empty()) {
    error = "no key in the key file " + path;
    return false;
  }
  keys_ = std::move(keys);
  return true;
}

std::vector<std::uint8_t> key_ring::Sign(std::span<const std::uint8_t> text) const {
  if (keys_.empty()) {
    return {};
  }
  std::vector<std::uint8_t> proof(crypto_auth_BYTES);
  crypto_auth(proof.data(), text.data(), text.size(), keys_.front().data());
  return proof;
}

bool key_ring::Verify(std::span<const std::uint8_t> text,
                      std::span<const std::uint8_t> proof) const {
  if (proof.size() != crypto_auth_BYTES) {
    return false;
  }
  bool verified = false;
  for (const key& candidate : keys_) {
    const bool matches =
        crypto_auth_verify(proof.data(), text.data(), text.size(), candidate.data()) == 0;
    verified = matches || verified;
  }
  return verified;
}

}  // namespace jacinthspool
