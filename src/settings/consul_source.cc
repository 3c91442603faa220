#include "src/settings/consul_source.h"

#include <sodium.h>

#include <utility>

#include "src/settings/consul_reply.h"
#include "src/settings/settings_log.h"
#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

constexpr const char* kDefaultRoot = "jacinthspool";
/// How long the service may keep a query waiting; it adds up to a sixteenth of jitter.
constexpr seconds kWait{60};
constexpr seconds kReplyTimeout{80};
/// Bounds the calls of a watcher when the service answers each query at once.
constexpr milliseconds kWatchPause{200};
/// Mean time between two reads of a process that is no watcher.
constexpr seconds kPollPeriod{600};
/// First reads are spread over this time, in which peers may be faster.
constexpr seconds kStartSpread{2};
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

consul_source::consul_source(settings_source::options settings)
    : settings_(std::move(settings)), retry_({}) {
  root_ = settings_.process->source->root;
  if (root_.empty()) {
    root_ = kDefaultRoot;
  }
  next_address_ =
      randombytes_uniform(static_cast<std::uint32_t>(settings_.process->source->addresses.size()));
  ReadAfter(settings_.process->peers.empty() ? microseconds(0)
                                             : Jittered(kStartSpread, randombytes_random()));
}

void consul_source::Reload() {
  index_ = 0;
  call_.reset();
  ReadAfter(microseconds(0));
}

void consul_source::ReadAfter(microseconds delay) {
  timer_ = settings_.timers.After(delay, [this](instant /*now*/) { Read(); });
}

bool consul_source::IsWatching() const {
  const process_settings& process = *settings_.process;
  return IsWatcher(process.name, KnownProcesses(*settings_.store.current(), process.data_centre),
                   process.watchers);
}

std::string consul_source::Target() const {
  std::string target = "/v1/kv/" + root_ + "/?recurse";
  if (IsWatching() && index_ > 0) {
    target += "&index=" + std::to_string(index_) + "&wait=" + std::to_string(kWait.count()) + "s";
  }
  return target;
}

void consul_source::Read() {
  const std::vector<std::string>& addresses = settings_.process->source->addresses;
  ++calls_;
  call_ = settings_.client.Fetch(
      {.address = addresses[next_address_ % addresses.size()],
       .target = Target(),
       .timeout = kReplyTimeout},
      {.on_done = [this](const http_response& response) { OnReply(response); }});
}

void consul_source::OnReply(const http_response& response) {
  const outcome result = Take(response);
  if (result == outcome::kFailed) {
    ++next_address_;
  }
  ScheduleNext(result);
}

consul_source::outcome consul_source::Take(const http_response& response) {
  if (response.status != kOk && response.status != kNotFound) {
    const std::string reason =
        response.error.empty() ? "status " + std::to_string(response.status) : response.error;
    Log(log_level::kWarning, "settings_source_failed", {{"reason", reason}, {"calls", calls_}});
    return outcome::kFailed;
  }
  if (response.status == kOk) {
    const auto documents = ParseConsulReply(response.body, root_);
    if (!documents) {
      Log(log_level::kWarning, "settings_source_failed",
          {{"reason", "the reply is not a list of members"}, {"calls", calls_}});
      return outcome::kFailed;
    }
    for (const published_document& document : *documents) {
      settings_.store.Offer(document.path, document.text);
    }
  }
  TakeIndex(ConsulIndex(response.headers));
  return outcome::kTaken;
}

void consul_source::TakeIndex(std::uint64_t index) {
  if (index < index_) {
    LogFindings(
        {{"source", "the service's index went back from " + std::to_string(index_) + " to " +
                        std::to_string(index) + "; lower revisions are not applied"}});
  }
  index_ = index;
}

void consul_source::ScheduleNext(outcome last) {
  if (last == outcome::kFailed) {
    ReadAfter(retry_.Next(randombytes_random()));
    return;
  }
  retry_.Reset();
  ReadAfter(IsWatching() ? microseconds(kWatchPause) : Jittered(kPollPeriod, randombytes_random()));
}

}  // namespace jacinthspool
