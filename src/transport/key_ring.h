#ifndef JACINTHSPOOL_TRANSPORT_KEY_RING_H_
#define JACINTHSPOOL_TRANSPORT_KEY_RING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace jacinthspool {

/// \brief The shared keys with which processes authenticate to each other.
///
/// A key file holds one key per line: 32 bytes in hexadecimal. The first key
/// signs and all keys verify, so that keys can be rotated without a restart.
class key_ring {
 public:
  static constexpr std::size_t kKeyBytes = 32;
  using key = std::array<std::uint8_t, kKeyBytes>;

  /// \brief Loads the keys from a file; on failure the previous keys stay in use.
  /// \returns false on failure, with `error` set; it never contains key material.
  bool Load(const std::string& path, std::string& error);

  /// \returns The message authentication code of `text` under the first key.
  [[nodiscard]] std::vector<std::uint8_t> Sign(std::span<const std::uint8_t> text) const;

  /// \brief Checks `proof` against every key, in constant time.
  [[nodiscard]] bool Verify(std::span<const std::uint8_t> text,
                            std::span<const std::uint8_t> proof) const;

  [[nodiscard]] bool empty() const { return keys_.empty(); }

 private:
  std::vector<key> keys_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_KEY_RING_H_
