#include "jacinthspool/impl/stream_assembler.h"

#include <utility>

namespace jacinthspool {

std::vector<std::string> stream_assembler::Take(attempt_number attempt, std::uint64_t offset,
                                                std::string text) {
  std::vector<std::string> ready;
  if (attempt != settings_.attempt || offset < next_offset_) {
    return ready;
  }
  if (end_offset_.has_value() && offset >= *end_offset_) {
    return ready;
  }
  if (offset > next_offset_) {
    if (offset - next_offset_ > settings_.max_early) {
      overflowed_ = true;
    } else {
      early_.try_emplace(offset, std::move(text));
    }
    return ready;
  }
  ready.push_back(std::move(text));
  ++next_offset_;
  while (!early_.empty() && early_.begin()->first <= next_offset_) {
    if (early_.begin()->first == next_offset_) {
      ready.push_back(std::move(early_.begin()->second));
      ++next_offset_;
    }
    early_.erase(early_.begin());
  }
  return ready;
}

bool stream_assembler::End(attempt_number attempt, std::uint64_t end_offset) {
  if (attempt != settings_.attempt || end_offset < next_offset_) {
    return false;
  }
  if (!early_.empty() && early_.rbegin()->first >= end_offset) {
    return false;
  }
  if (end_offset_.has_value()) {
    return *end_offset_ == end_offset;
  }
  end_offset_ = end_offset;
  return true;
}

void stream_assembler::Replace(attempt_number attempt) {
  settings_.attempt = attempt;
  end_offset_.reset();
  early_.clear();
  overflowed_ = false;
}

}  // namespace jacinthspool
