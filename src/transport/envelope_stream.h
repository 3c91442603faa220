#ifndef JACINTHSPOOL_TRANSPORT_ENVELOPE_STREAM_H_
#define JACINTHSPOOL_TRANSPORT_ENVELOPE_STREAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace jacinthspool {

/// \brief The largest envelope that one process takes from another.
constexpr std::size_t kMaxEnvelopeBytes = 16U << 20U;

/// Bytes of the length before each envelope.
constexpr std::size_t kEnvelopePrefixBytes = 4;

/// \returns The length that goes before an envelope, big-endian.
std::array<char, kEnvelopePrefixBytes> EnvelopePrefix(std::size_t length);

/// \brief Cuts a stream of bytes into envelopes.
///
/// \code
/// while (reader.Next(bytes, limit) == envelope_reader::outcome::kEnvelope) {
///   Take(reader.envelope());
/// }
/// \endcode
class envelope_reader {
 public:
  enum class outcome { kMoreBytes, kEnvelope, kTooLarge };

  /// \brief Takes bytes from the head of `bytes` up to the end of an envelope.
  /// \param limit A larger envelope is refused as soon as its length is known.
  outcome Next(std::span<const std::uint8_t>& bytes, std::size_t limit);

  /// \returns The envelope, aligned for FlatBuffers; valid until the next call of Next.
  [[nodiscard]] std::span<const std::uint8_t> envelope() const { return body_; }

  /// \returns true when the stream stands between two envelopes.
  [[nodiscard]] bool at_boundary() const { return prefix_filled_ == 0; }

 private:
  bool ReadPrefix(std::span<const std::uint8_t>& bytes);

  std::size_t prefix_filled_ = 0;
  std::size_t length_ = 0;
  bool complete_ = false;  ///< `body_` was handed out.
  std::vector<std::uint8_t> body_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_ENVELOPE_STREAM_H_
