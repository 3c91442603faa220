#include "src/telemetry/line_limit.h"

namespace jacinthspool {

bool line_limit::Permits(const std::string& key, instant now) {
  if (now - period_start_ >= settings_.period) {
    period_start_ = now;
    written_.clear();
  }
  if (written_.size() >= settings_.max_lines || !written_.insert(key).second) {
    ++suppressed_;
    return false;
  }
  return true;
}

}  // namespace jacinthspool
