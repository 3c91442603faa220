#include "src/transport/envelope_stream.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {
namespace {

constexpr unsigned kByteBits = 8;
constexpr std::uint32_t kByteMask = 0xFF;

}  // namespace

void AppendEnvelope(std::string& stream, std::span<const std::uint8_t> envelope) {
  const auto length = static_cast<std::uint32_t>(envelope.size());
  for (int shift = 3; shift >= 0; --shift) {
    stream.push_back(
        static_cast<char>((length >> (kByteBits * static_cast<unsigned>(shift))) & kByteMask));
  }
  stream.append(reinterpret_cast<const char*>(envelope.data()), envelope.size());
}

bool envelope_reader::ReadPrefix(std::span<const std::uint8_t>& bytes) {
  while (prefix_filled_ < kPrefixBytes && !bytes.empty()) {
    length_ = (length_ << kByteBits) | bytes.front();
    ++prefix_filled_;
    bytes = bytes.subspan(1);
  }
  return prefix_filled_ == kPrefixBytes;
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
