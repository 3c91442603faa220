#ifndef JACINTHSPOOL_TRANSPORT_ENVELOPE_STREAM_H_
#define JACINTHSPOOL_TRANSPORT_ENVELOPE_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace jacinthspool {

/// \brief The largest envelope that one process takes from another.
constexpr std::size_t kMaxEnvelopeBytes = 16U << 20U;

/// \brief Appends an envelope with its length before it (4 bytes, big-endian).
void AppendEnvelope(std::string& stream, std::span<const std::uint8_t> envelope);

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
  static constexpr std::size_t kPrefixBytes = 4;

  bool ReadPrefix(std::span<const std::uint8_t>& bytes);

  std::size_t prefix_filled_ = 0;
  std::size_t length_ = 0;
  bool complete_ = false;  ///< `body_` was handed out.
  std::vector<std::uint8_t> body_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_ENVELOPE_STREAM_H_
