#include "src/gateway/snapshot_query.h"

#include <utility>

#include "src/telemetry/log.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

/// Until the answer begins, and between two pieces of it.
constexpr milliseconds kAnswerTimeout = milliseconds(600);
/// Enough for several thousand routes and servers.
constexpr std::size_t kMaxSnapshotBytes = 16U << 20U;

}  // namespace

snapshot_query::snapshot_query(options settings)
    : settings_(std::move(settings)),
      watchdog_({.timers = settings_.timers, .silence = kAnswerTimeout}) {
  const bool wants_record = !settings_.backend.empty();
  std::string bytes =
      (settings_.news.empty() ? "GET " : "POST ") +
      (wants_record ? std::string(kRecordTarget) : SnapshotTarget(settings_.scope)) +
      " HTTP/1.1\r\nHost: " + settings_.address + "\r\n";
  if (wants_record) {
    bytes += std::string(kBackendHeader) + ": " + settings_.backend + "\r\n";
  }
  if (!settings_.gateway.empty()) {
    bytes += std::string(kGatewayNameHeader) + ": " + settings_.gateway + "\r\n" +
             std::string(kGatewayAddressHeader) + ": " + settings_.listen + "\r\n";
  }
  if (!settings_.news.empty()) {
    bytes += "Content-Type: application/octet-stream\r\nContent-Length: " +
             std::to_string(settings_.news.size()) + "\r\n";
  }
  bytes += "\r\n" + settings_.news;
  call_ = settings_.client.Start({.address = settings_.address,
                                  .bytes = bytes,
                                  .connect_timeout = kAnswerTimeout,
                                  .max_body_bytes = kMaxSnapshotBytes},
                                 *this);
  watchdog_.Start(kAnswerTimeout, [this](const std::string& reason) {
    call_.reset();
    OnEnd(call_outcome::kLost, reason);
  });
}

head_action snapshot_query::OnHead(const http1_head& head) {
  status_ = head.status;
  return head_action::kAccept;
}

void snapshot_query::OnEnd(call_outcome end, const std::string& reason) {
  if (std::exchange(answered_, true)) {
    return;
  }
  watchdog_.Cancel();
  std::optional<gateway_snapshot> snapshot;
  if (end == call_outcome::kWhole && status_ == http_status::kOk) {
    snapshot = DecodeSnapshot(body_);
  }
  if (snapshot && snapshot->confirmed) {
    // The age was stated at some time after the query was sent.
    snapshot->confirmed->as_of -= timer_service::now() - sent_;
  }
  if (!snapshot) {
    Log(log_level::kDebug, "no_snapshot",
        {{"peer", settings_.address}, {"status", status_}, {"reason", reason}});
  }
  settings_.on_answer(std::move(snapshot));
}

}  // namespace jacinthspool
