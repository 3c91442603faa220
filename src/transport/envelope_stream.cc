#include "src/transport/envelope_stream.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {
namespace {

constexpr unsigned kByteBits = 8;
constexpr std::size_t kByteMask = 0xFF;

}  // namespace

std::array<char, kEnvelopePrefixBytes> EnvelopePrefix(std::size_t length) {
  std::array<char, kEnvelopePrefixBytes> prefix{};
  for (auto digit = prefix.rbegin(); digit != prefix.rend(); ++digit) {
    *digit = static_cast<char>(length & kByteMask);
    length >>= kByteBits;
  }
  return prefix;
}

bool envelope_reader::ReadPrefix(std::span<const std::uint8_t>& bytes) {
  while (prefix_filled_ < kEnvelopePrefixBytes && !bytes.empty()) {
    length_ = (length_ << kByteBits) | bytes.front();
    ++prefix_filled_;
    bytes = bytes.subspan(1);
  }
  return prefix_filled_ == kEnvelopePrefixBytes;
}

envelope_reader::outcome envelope_reader::Next(std::span<const std::uint8_t>& bytes,
                                               std::size_t limit) {
  if (std::exchange(complete_, false)) {
    body_.clear();
  }
  if (!ReadPrefix(bytes)) {
    return outcome::kMoreBytes;
  }
  if (length_ > limit) {
    return outcome::kTooLarge;
  }
  const std::size_t taken = std::min(bytes.size(), length_ - body_.size());
  body_.insert(body_.end(), bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(taken));
  bytes = bytes.subspan(taken);
  if (body_.size() < length_) {
    return outcome::kMoreBytes;
  }
  complete_ = true;
  length_ = 0;
  prefix_filled_ = 0;
  return outcome::kEnvelope;
}

}  // namespace jacinthspool
