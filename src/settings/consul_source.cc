#include "src/settings/consul_source.h"

#include <sodium.h>

#include <algorithm>
#include <utility>

#include "src/settings/consul_reply.h"
#include "src/settings/settings_log.h"
#include "src/settings/watch_policy.h"
#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

constexpr const char* kDefaultRoot = "jacinthspool";
/// The service adds up to 1/16 to the wait as jitter; `kReplyTime` is for the reply itself.
constexpr int kWaitJitterPart = 16;
constexpr seconds kReplyTime{10};
constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// All documents, whose text base64 enlarges by a third.
constexpr std::size_t kMaxReplyBytes = 16U << 20U;

/// Name of a process in the operators' document.
std::string_view ListedName(const process_settings& process) {
  return process.backend ? process.backend->name : process.name;
}

}  // namespace

consul_source::consul_source(settings_source::options settings)
    : settings_(std::move(settings)),
      root_(settings_.process->source->root),
      delays_({.first = settings_.times.first_backoff, .last = settings_.times.last_backoff}) {
  if (root_.empty()) {
    root_ = kDefaultRoot;
  }
  const std::size_t addresses = settings_.process->source->addresses.size();
  next_address_ = randombytes_uniform(static_cast<std::uint32_t>(addresses));
  const microseconds start = RandomFraction(settings_.times.start_spread, randombytes_random());
  timer_ = settings_.timers.After(start, [this](instant /*now*/) { ReadFirst(); });
}

void consul_source::Reload() {
  index_ = 0;
  call_.reset();
  ReadAfter(microseconds(0));
}

void consul_source::ReadAfter(microseconds delay) {
  timer_ = settings_.timers.After(delay, [this](instant /*now*/) { Read(); });
}

void consul_source::ReadFirst() {
  const bool received_from_peers = settings_.store.current()->operators->revision > 0;
  if (received_from_peers && !IsWatching()) {
    ScheduleNext(outcome::kApplied);
    return;
  }
  Read();
}

void consul_source::ReadWhenDue(instant now) {
  if (IsWatching() || now >= poll_due_) {
    Read();
    return;
  }
  WaitForPoll();
}

bool consul_source::IsWatching() const {
  const process_settings& process = *settings_.process;
  return IsWatcher({.self = ListedName(process),
                    .data_centre = process.data_centre,
                    .watchers = process.watchers},
                   KnownProcesses(*settings_.store.current(), process.data_centre));
}

std::string consul_source::Target() const {
  std::string target = "/v1/kv/" + root_ + "/?recurse";
  if (IsWatching() && index_ > 0) {
    target += "&index=" + std::to_string(index_) +
              "&wait=" + std::to_string(settings_.times.wait.count()) + "s";
  }
  return target;
}

void consul_source::Read() {
  const std::vector<std::string>& addresses = settings_.process->source->addresses;
  const seconds wait = settings_.times.wait;
  ++calls_;
  call_ = settings_.client.Fetch(
      {.address = addresses[next_address_ % addresses.size()],
       .target = Target(),
       .timeout = wait + wait / kWaitJitterPart + kReplyTime,
       .max_body_bytes = kMaxReplyBytes},
      {.on_done = [this](const http_response& response) { OnReply(response); }});
}

void consul_source::OnReply(const http_response& response) {
  const outcome result = ApplyReply(response);
  if (result == outcome::kFailed) {
    ++next_address_;
    ++failures_;
  } else {
    failures_ = 0;
  }
  ScheduleNext(result);
}

consul_source::outcome consul_source::Fail(const std::string& reason) const {
  Log(log_level::kWarning, "settings_source_failed", {{"reason", reason}, {"calls", calls_}});
  return outcome::kFailed;
}

consul_source::outcome consul_source::ApplyReply(const http_response& response) {
  if (response.status == kNotFound) {
    UpdateIndex(ConsulIndex(response.headers));
    return outcome::kApplied;
  }
  if (response.status != kOk) {
    return Fail(response.error.empty() ? "status " + std::to_string(response.status)
                                       : response.error);
  }
  const auto documents = ParseConsulReply(response.body, root_);
  if (!documents) {
    return Fail("the reply is not a JSON list of keys and values");
  }
  for (const published_document& document : *documents) {
    settings_.store.Offer(document.path, document.text);
  }
  UpdateIndex(ConsulIndex(response.headers));
  return outcome::kApplied;
}

void consul_source::UpdateIndex(std::uint64_t index) {
  if (index < index_) {
    LogFindings(
        {{"source", "the service's index decreased from " + std::to_string(index_) + " to " +
                        std::to_string(index) + "; lower revisions are not applied"}});
  }
  index_ = index;
}

void consul_source::ScheduleNext(outcome last) {
  if (last == outcome::kFailed) {
    ReadAfter(delays_.Delay(failures_, randombytes_random()));
    return;
  }
  if (IsWatching()) {
    ReadAfter(settings_.times.watch_pause);
    return;
  }
  poll_due_ = timer_service::now() + Jittered(settings_.times.poll_period, randombytes_random());
  WaitForPoll();
}

void consul_source::WaitForPoll() {
  const microseconds rest = std::max(poll_due_ - timer_service::now(), microseconds(0));
  timer_ = settings_.timers.After(std::min(rest, settings_.times.role_period),
                                  [this](instant now) { ReadWhenDue(now); });
}

}  // namespace jacinthspool
