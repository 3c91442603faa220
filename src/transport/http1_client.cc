#include "src/transport/http1_client.h"

#include <charconv>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "src/telemetry/log.h"
#include "src/transport/tcp_stream.h"

namespace jacinthspool {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kFirstRedirectStatus = 300;
/// Limit for the replies, interim or to other requests, that one call may discard.
constexpr int kMaxSkippedReplies = 8;
/// An idle connection is discarded this long before the idle timeout announced by the server.
constexpr milliseconds kKeepAliveMargin = milliseconds(500);

/// \returns The idle timeout of `Keep-Alive: timeout=N`, less a margin; nothing when absent.
std::optional<milliseconds> AnnouncedIdleTime(const http1_head& head) {
  const auto value = head.Find("Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value ? value->find(kName) : std::string_view::npos;
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  int announced = 0;
  const char* begin = value->data() + at + kName.size();
  const auto result = std::from_chars(begin, value->data() + value->size(), announced);
  if (result.ec != std::errc()) {
    return std::nullopt;
  }
  return std::max(milliseconds(0), milliseconds(seconds(announced)) - kKeepAliveMargin);
}

/// A connection that may carry a call.
struct idle_connection {
  instant since{};
};
/// The call on a connection, and how far its reply has come.
struct running_call {
  explicit running_call(http1_call_listener& the_listener) : listener(&the_listener) {}
  http1_call_listener* listener;
  timer_subscription connect_timeout = {};
  bool reply_began = false;
  bool body_began = false;
  bool success = false;
  bool skipping = false;
  bool stray = false;  ///< A reply to another request was received.
  bool keep = false;
  int skipped = 0;  ///< Reply heads discarded.
};
/// Its socket is closed.
struct closed_connection {};
using connection_phase = std::variant<idle_connection, running_call, closed_connection>;

}  // namespace

std::string_view ToString(call_outcome end) {
  switch (end) {
    case call_outcome::kWhole:
      return "whole";
    case call_outcome::kUnsent:
      return "unsent";
    case call_outcome::kRefused:
      return "refused";
    case call_outcome::kLost:
      return "lost";
    case call_outcome::kCut:
      return "cut";
    case call_outcome::kMalformed:
      return "malformed";
  }
  return "unknown";
}

struct http1_client::state {
  explicit state(const options& the_settings) : settings(the_settings) {}

  options settings;
  std::map<std::string, std::vector<std::shared_ptr<connection>>> idle;
  std::uint64_t opened = 0;
  std::uint64_t bytes_after_end = 0;

  std::shared_ptr<connection> TakeIdle(const http1_call_options& call, instant now);
  void Keep(const std::shared_ptr<connection>& kept);
  void Drop(connection& dropped);
};

/// A connection and the call on it.
///
/// The listener may destroy its call and start others whenever it is called, so the state of the
/// connection is looked up again afterwards.
class http1_client::connection : public tcp_listener,
                                 public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<state> owner, const http1_call_options& call)
      : owner_(std::move(owner)),
        address_(call.address),
        reader_({.kind = http1_reader::message_kind::kReply,
                 .max_head_bytes = owner_->settings.max_head_bytes,
                 .max_body_bytes = call.max_body_bytes}),
        stream_(owner_->settings.loop, call.address, *this,
                {.user_timeout = owner_->settings.user_timeout, .keep_alive_probes = true}) {
    trace_.connection = ++owner_->opened;
  }

  /// \returns The sequence number of the call on this connection.
  std::uint64_t Begin(const http1_call_options& call, http1_call_listener& listener) {
    ++call_number_;
    running_call& begun = phase_.emplace<running_call>(listener);
    reader_.LimitBody(call.max_body_bytes);
    if (!call.expects_body) {
      reader_.ExpectNoBody();
    }
    stream_.Write(
        std::span(reinterpret_cast<const std::uint8_t*>(call.bytes.data()), call.bytes.size()));
    request_ = call.request;
    trace_ = {.connection = trace_.connection,
              .kept = call_number_ > 1,
              .started = timer_service::now(),
              .bytes = call.bytes.size()};
    if (trace_.kept) {
      // Deferred, so that a failure is not reported before Start has returned the call.
      owner_->settings.loop.Post([self = shared_from_this()] { self->stream_.Flush(); });
    } else {
      begun.connect_timeout = owner_->settings.timers.After(
          call.connect_timeout, [this](instant /*now*/) { OnFailed("connect timed out"); });
    }
    return call_number_;
  }

  /// Cancels the call if it is still running, and closes its connection.
  void Abandon(std::uint64_t call_number) {
    if (Running(call_number)) {
      Close();
    }
  }

  void PauseReply(std::uint64_t call_number, bool paused) {
    if (Running(call_number)) {
      paused_ = paused;
      if (paused) {
        stream_.PauseReading(true);
      } else {
        owner_->settings.loop.Post([self = shared_from_this()] { self->ResumeReply(); });
      }
    }
  }

  [[nodiscard]] send_trace trace(std::uint64_t call_number) const {
    return call_number == call_number_ ? trace_ : send_trace();
  }
  [[nodiscard]] const std::string& address() const { return address_; }
  /// \returns true when the connection may carry another call: it has not been idle for too long,
  /// and neither bytes that belong to no call nor its end have arrived.
  [[nodiscard]] bool IsUsable(instant now, milliseconds max_idle) const {
    const auto* idle = std::get_if<idle_connection>(&phase_);
    return idle != nullptr &&
           now - idle->since < std::min<microseconds>(max_idle, announced_idle_) && stream_.quiet();
  }

  /// Closes the socket; what the kernel has not taken yet is never sent.
  void Close() {
    stream_.Close();
    phase_ = connection_phase(closed_connection());
  }

  void OnConnected() override {
    trace_.connected = timer_service::now();
    if (auto* call = std::get_if<running_call>(&phase_)) {
      call->connect_timeout.Cancel();
    }
    stream_.Flush();
  }

  void OnBytes(std::span<const std::uint8_t> bytes) override {
    const auto self = shared_from_this();
    reader_.Feed({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    if (!std::holds_alternative<running_call>(phase_)) {
      // No call is running, so these bytes belong to no request.
      Retire();
      return;
    }
    ReadReply();
  }

  void OnReadEnd() override {}
  void OnDrained() override {}

  void OnWritten(std::size_t count) override {
    trace_.last_write = timer_service::now();
    trace_.first_write = trace_.first_write.value_or(*trace_.last_write);
    trace_.written += count;
    if (!std::holds_alternative<running_call>(phase_)) {
      owner_->bytes_after_end += count;
      Log(log_level::kError, "bytes_after_end",
          {{"request", request_},
           {"address", address_},
           {"connection", trace_.connection},
           {"bytes", count},
           {"queued_ms", (*trace_.last_write - trace_.started) / milliseconds(1)}});
    }
  }

  void OnClosed() override {
    const auto* call = std::get_if<running_call>(&phase_);
    // A success without a byte of its body may be of a server that stopped after the head, and one
    // that ends before its request was sent may be of a server that gave up.
    const bool whole = call != nullptr && call->reply_began && trace_.written == trace_.bytes &&
                       (call->body_began || !call->success) && reader_.EndsAtClose();
    if (whole) {
      End(call_outcome::kWhole, "");
    } else {
      OnFailed("closed by the backend server");
    }
  }

  void OnRefused(const std::string& reason) override { End(call_outcome::kRefused, reason); }

  void OnFailed(const std::string& reason) override {
    // First, since only on a closed stream does the number of written bytes not change any more.
    stream_.Close();
    const auto* call = std::get_if<running_call>(&phase_);
    End(call != nullptr && call->reply_began ? call_outcome::kCut
        : trace_.written > 0                 ? call_outcome::kLost
                                             : call_outcome::kUnsent,
        reason);
  }

 private:
  [[nodiscard]] bool Running(std::uint64_t call_number) const {
    return call_number == call_number_ && std::holds_alternative<running_call>(phase_);
  }

  /// Reads what arrived before the pause first: the end of the connection may have arrived since.
  void ResumeReply() {
    ReadReply();
    if (!paused_) {
      stream_.PauseReading(false);
    }
  }

  void ReadReply() {
    const auto self = shared_from_this();
    for (auto* call = std::get_if<running_call>(&phase_); call != nullptr && !paused_;
         call = std::get_if<running_call>(&phase_)) {
      http1_event found = reader_.Read();
      if (std::holds_alternative<http1_need_more>(found)) {
        return;
      }
      std::visit([&](auto& event) { Take(*call, event); }, found);
    }
  }

  void Take(running_call& /*call*/, const http1_need_more& /*event*/) {}

  void Take(running_call& call, const http1_head& head) {
    call.skipping = head.status < kFirstFinalStatus;
    if (call.skipping) {
      CountSkipped(call);
      return;
    }
    const std::uint64_t number = call_number_;
    const head_action verdict = call.listener->OnHead(head);
    if (!Running(number)) {
      return;
    }
    if (verdict == head_action::kClose) {
      End(call_outcome::kMalformed, "reply belongs to another request");
      return;
    }
    call.skipping = verdict == head_action::kSkip;
    call.reply_began = !call.skipping;
    if (call.skipping) {
      call.stray = true;
      CountSkipped(call);
      return;
    }
    call.success = head.status < kFirstRedirectStatus;
    call.keep = head.keep_alive;
    if (const auto announced = AnnouncedIdleTime(head)) {
      announced_idle_ = *announced;
    }
  }

  void CountSkipped(running_call& call) {
    if (++call.skipped > kMaxSkippedReplies) {
      End(call_outcome::kMalformed, "too many interim replies or replies to other requests");
    }
  }

  void Take(running_call& call, const http1_body& body) {
    if (!call.skipping) {
      call.body_began = call.body_began || !body.bytes.empty();
      call.listener->OnBody(body.bytes);
    }
  }

  void Take(running_call& call, const http1_end& /*event*/) {
    if (call.skipping) {
      return;
    }
    // If the reply came before the whole request was sent, the rest of the request is still queued.
    // After a reply to another request it is not known how many more follow.
    const bool reusable =
        call.keep && !call.stray && stream_.queued_bytes() == 0 && reader_.buffered() == 0;
    if (!reusable) {
      End(call_outcome::kWhole, "");
      return;
    }
    http1_call_listener* listener = call.listener;
    phase_ = idle_connection{.since = timer_service::now()};
    owner_->Keep(shared_from_this());
    listener->OnEnd(call_outcome::kWhole, "");
  }

  void Take(running_call& /*call*/, const http1_fault& /*event*/) {
    End(call_outcome::kMalformed, "malformed or oversized HTTP reply");
  }

  /// Closes the connection, then reports the end of its call if one is running.
  void End(call_outcome end, const std::string& reason) {
    const auto self = shared_from_this();
    const auto* call = std::get_if<running_call>(&phase_);
    http1_call_listener* listener = call != nullptr ? call->listener : nullptr;
    Retire();
    if (listener != nullptr) {
      listener->OnEnd(end, reason);
    }
  }

  /// Closes a connection that may be in the idle list.
  void Retire() {
    const auto self = shared_from_this();
    Close();
    owner_->Drop(*this);
  }

  std::shared_ptr<state> owner_;
  std::string address_;
  http1_reader reader_;
  tcp_stream stream_;
  connection_phase phase_;
  std::uint64_t call_number_ = 0;
  std::string request_;  ///< Id of the newest call's request.
  send_trace trace_;     ///< Of the newest call.
  bool paused_ = false;
  microseconds announced_idle_ = seconds(60);
};

class http1_client::call_handle : public http1_call {
 public:
  call_handle(std::shared_ptr<connection> on, std::uint64_t call_number)
      : connection_(std::move(on)), call_number_(call_number) {}
  ~call_handle() override { connection_->Abandon(call_number_); }
  [[nodiscard]] bool first_on_connection() const override { return call_number_ == 1; }
  void PauseReply(bool paused) override { connection_->PauseReply(call_number_, paused); }
  [[nodiscard]] send_trace trace() const override { return connection_->trace(call_number_); }
  call_handle(const call_handle&) = delete;
  call_handle& operator=(const call_handle&) = delete;

 private:
  std::shared_ptr<connection> connection_;
  std::uint64_t call_number_;
};

std::shared_ptr<http1_client::connection> http1_client::state::TakeIdle(
    const http1_call_options& call, instant now) {
  const auto found = idle.find(call.address);
  if (found == idle.end()) {
    return nullptr;
  }
  auto& kept = found->second;
  // Most recently used first, so that the others can reach their idle limit.
  while (!kept.empty()) {
    std::shared_ptr<connection> last = std::move(kept.back());
    kept.pop_back();
    if (last->IsUsable(now, call.max_idle)) {
      return last;
    }
    last->Close();
  }
  return nullptr;
}

void http1_client::state::Keep(const std::shared_ptr<connection>& kept) {
  auto& list = idle[kept->address()];
  list.push_back(kept);
  if (list.size() > settings.max_idle_connections) {
    const std::shared_ptr<connection> oldest = list.front();
    list.erase(list.begin());
    oldest->Close();
  }
}

void http1_client::state::Drop(connection& dropped) {
  const auto found = idle.find(dropped.address());
  if (found == idle.end()) {
    return;
  }
  std::erase_if(found->second, [&](const auto& each) { return each.get() == &dropped; });
}

http1_client::http1_client(const options& settings) : state_(std::make_shared<state>(settings)) {}

http1_client::~http1_client() {
  // Each connection of the list holds the state that has the list.
  std::exchange(state_->idle, {}).clear();
}

std::unique_ptr<http1_call> http1_client::Start(const http1_call_options& call,
                                                http1_call_listener& listener) {
  std::shared_ptr<connection> on =
      call.new_connection ? nullptr : state_->TakeIdle(call, timer_service::now());
  if (!on) {
    on = std::make_shared<connection>(state_, call);
  }
  const std::uint64_t call_number = on->Begin(call, listener);
  return std::make_unique<call_handle>(std::move(on), call_number);
}

std::uint64_t http1_client::connections_opened() const { return state_->opened; }

std::uint64_t http1_client::bytes_after_end() const { return state_->bytes_after_end; }

}  // namespace jacinthspool
