#include "jacinthspool/impl/memory_ledger.h"

namespace jacinthspool {

void memory_ledger::Grant(attempt_id attempt, std::uint32_t pieces) {
  const bool added = entries_.try_emplace(attempt, entry{.pieces = pieces}).second;
  if (added) {
    granted_ += pieces;
  }
}

void memory_ledger::Withdraw(attempt_id attempt) {
  const auto position = entries_.find(attempt);
  if (position == entries_.end() || position->second.state != piece_state::kGranted) {
    return;
  }
  granted_ -= position->second.pieces;
  entries_.erase(position);
}

bool memory_ledger::Hold(attempt_id attempt) {
  const auto position = entries_.find(attempt);
  if (position == entries_.end() || position->second.state != piece_state::kGranted ||
      position->second.pieces > free()) {
    return false;
  }
  position->second.state = piece_state::kHeld;
  granted_ -= position->second.pieces;
  held_ += position->second.pieces;
  return true;
}

void memory_ledger::StartRelease(attempt_id attempt) {
  const auto position = entries_.find(attempt);
  if (position == entries_.end() || position->second.state != piece_state::kHeld) {
    return;
  }
  position->second.state = piece_state::kReleasing;
  releasing_ += position->second.pieces;
}

void memory_ledger::ConfirmReleased(attempt_id attempt) {
  const auto position = entries_.find(attempt);
  if (position == entries_.end() || position->second.state == piece_state::kGranted) {
    return;
  }
  if (position->second.state == piece_state::kReleasing) {
    releasing_ -= position->second.pieces;
  }
  held_ -= position->second.pieces;
  entries_.erase(position);
}

}  // namespace jacinthspool
