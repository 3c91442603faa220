#ifndef JACINTHSPOOL_TRANSPORT_ENVELOPE_STREAM_H_
#define JACINTHSPOOL_TRANSPORT_ENVELOPE_STREAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace jacinthspool {

/// \brief The largest envelope that a process accepts from a peer.
constexpr std::size_t kMaxEnvelopeBytes = 16U << 20U;

/// Size of the length prefix of each envelope.
constexpr std::size_t kEnvelopePrefixBytes = 4;

/// \returns The big-endian length prefix of an envelope of `length` bytes.
std::array<char, kEnvelopePrefixBytes> EnvelopePrefix(std::size_t length);

/// \brief Splits a byte stream into length-prefixed envelopes.
///
/// \code
/// while (reader.Next(bytes, limit) == envelope_reader::outcome::kEnvelope) {
///   Take(reader.envelope());
/// }
/// \endcode
class envelope_reader {
 public:
  enum class outcome { kMoreBytes, kEnvelope, kTooLarge };

  /// \brief Consumes bytes from the front of `bytes`, at most to the end of one envelope.
  /// \param limit Largest accepted envelope in bytes; a larger one is rejected as soon as its
  /// length is known.
  outcome Next(std::span<const std::uint8_t>& bytes, std::size_t limit);

  /// \returns The envelope, aligned for FlatBuffers; valid until the next call to Next.
  [[nodiscard]] std::span<const std::uint8_t> envelope() const { return body_; }

  /// \returns true when no envelope has been read in part.
  [[nodiscard]] bool at_boundary() const { return prefix_filled_ == 0; }

 private:
  bool ReadPrefix(std::span<const std::uint8_t>& bytes);

  std::size_t prefix_filled_ = 0;
  std::size_t length_ = 0;
  bool complete_ = false;  ///< `body_` holds an envelope that Next has returned.
  std::vector<std::uint8_t> body_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_ENVELOPE_STREAM_H_
