#ifndef JACINTHSPOOL_TRANSPORT_KEY_RING_H_
#define JACINTHSPOOL_TRANSPORT_KEY_RING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace jacinthspool {

/// \brief The keys with which the system's processes prove who they are.
///
/// A key file holds one key a line in hexadecimal, 32 bytes each. The first
/// signs, all verify, so that keys can be changed without a restart.
class key_ring {
 public:
  static constexpr std::size_t kKeyBytes = 32;
  using key = std::array<std::uint8_t, kKeyBytes>;

  /// \brief Reads the file again; the old keys stay when it has a fault.
  /// \returns false and fills `error` (which never holds key material).
  bool Load(const std::string& path, std::string& error);

  /// \returns The keyed hash of `text` under the first key.
  [[nodiscard]] std::vector<std::uint8_t> Sign(std::span<const std::uint8_t> text) const;

  /// \brief Compares in constant time, under each key.
  [[nodiscard]] bool Verify(std::span<const std::uint8_t> text,
                            std::span<const std::uint8_t> proof) const;

  [[nodiscard]] bool empty() const { return keys_.empty(); }

 private:
  std::vector<key> keys_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_KEY_RING_H_
