#include "tests/standins/vms.h"

namespace jacinthspool::standins {

void vms::Handle(const exchange_ptr& exchange) {
  const std::string& path = exchange->path();
  if (path == "/health") {
    ReplyJson(*exchange, 200, nlohmann::json::object());
  } else if (path == "/standin/faults") {
    UpdateFaults(*exchange, faults_);
  } else if (path == "/standin/vms") {
    const nlohmann::json list = BodyOf(*exchange);
    changes_.push_back(
        PostAfter(context_, milliseconds(faults_.lag_ms), [this, list] { shown_ = list; }));
    ReplyJson(*exchange, 200, list);
  } else if (path == "/vms" && !faults_.down) {
    ReplyJson(*exchange, 200, shown_);
  } else {
    ReplyError(*exchange, faults_.down ? 503 : 404, "no answer for this");
  }
}

}  // namespace jacinthspool::standins
