#include "src/transport/http1_server.h"

#include <event2/listener.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <span>
#include <utility>

#include "src/transport/socket_address.h"
#include "src/transport/tcp_stream.h"

namespace jacinthspool {
namespace {

/// Interval at which connections are checked for timeouts.
constexpr milliseconds kSweepPeriod = milliseconds(500);
/// During a planned stop a connection is closed only after it has been idle for this long, since
/// its caller may have sent a request that has not arrived yet.
constexpr milliseconds kStopIdleTime = milliseconds(400);
/// During a planned stop the kernel takes this much of a caller's answers, which it goes on sending
/// after the process has ended.
constexpr int kStopSendBufferBytes = 4 << 20;
/// Limit for buffered bytes of pipelined requests while a request is being answered.
constexpr std::size_t kMaxReadAheadBytes = 256U << 10U;
/// TCP_USER_TIMEOUT: a caller that acknowledges no data for this long counts as disconnected.
constexpr milliseconds kCallerUserTimeout = seconds(5);

int StatusOf(http1_fault fault) {
  switch (fault) {
    case http1_fault::kMalformed:
      return 400;
    case http1_fault::kHeadTooLarge:
      return 431;
    case http1_fault::kBodyTooLarge:
      return 413;
    case http1_fault::kUnsupportedCoding:
      return 501;
  }
  return 400;
}

std::string StatusLine(int status) {
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  line += ReasonPhrase(status);
  line += "\r\n";
  return line;
}

void AppendHeaders(std::string& text, const http_headers& headers) {
  for (const auto& [name, value] : headers) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
}

}  // namespace

struct http1_server::state : std::enable_shared_from_this<http1_server::state> {
  explicit state(options the_settings) : settings(std::move(the_settings)) {}

  options settings;
  edge_limits limits;
  listener_handle listener;
  timer_subscription sweep;
  std::set<std::shared_ptr<http1_server_connection>> connections;
  std::size_t in_progress = 0;
  held_bytes held;
  bool close_after_answers = false;
  bool stopped_accepting = false;

  static void OnAccept(evconnlistener* /*unused*/, evutil_socket_t socket, sockaddr* /*unused*/,
                       int /*unused*/, void* context);
  void Sweep(instant now);
};

/// A caller's connection. Destroyed only between loop iterations.
class http1_server_connection : public tcp_listener,
                                public std::enable_shared_from_this<http1_server_connection> {
 public:
  http1_server_connection(std::shared_ptr<http1_server::state> owner, int socket)
      : owner_(std::move(owner)),
        reader_({.kind = http1_reader::message_kind::kRequest,
                 .max_head_bytes = owner_->limits.max_head_bytes,
                 .max_body_bytes = owner_->limits.max_body_bytes}),
        stream_(owner_->settings.loop, socket, *this, {.user_timeout = kCallerUserTimeout}) {
    BecomeIdle();
  }

  void OnConnected() override {}
  void OnReadEnd() override {}

  void OnBytes(std::span<const std::uint8_t> bytes) override {
    const auto self = shared_from_this();
    if (closing_) {
      return;
    }
    if (!reader_.inside_message()) {
      BecomeIdle();
    }
    reader_.Feed({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    if (!answering_) {
      ReadRequests();
    }
    LimitReadAhead();
    Account();
  }

  void OnWritten(std::size_t /*count*/) override { Account(); }

  void OnDrained() override {
    const auto self = shared_from_this();
    if (!answering_ && !reader_.inside_message()) {
      BecomeIdle();
    }
    if (closing_) {
      Retire();
    } else if (on_drained_) {
      on_drained_();
    }
  }
  void OnClosed() override { HandleCallerGone(); }
  void OnFailed(const std::string& /*reason*/) override { HandleCallerGone(); }

  /// Closes the connection if it has exceeded a time limit; called periodically.
  void CheckTimeout(instant now) {
    if (answering_ || closing_) {
      return;
    }
    if (body_waits_ && MayBeginBody()) {
      body_waits_ = false;
      LimitReadAhead();
      ReadRequests();
      Account();
      return;
    }
    const bool in_message = reader_.inside_message();
    if (!in_message && stream_.queued_bytes() > 0) {
      return;  // The caller still reads an answer; one that reads nothing fails the stream.
    }
    // A longer timeout that is configured meanwhile applies at once, a shorter one only to the
    // next idle time: the caller may still rely on the one before.
    milliseconds limit = std::max(idle_timeout_, owner_->limits.idle_timeout);
    if (in_message && !head_) {
      limit = owner_->limits.head_timeout;
    } else if (owner_->stopped_accepting && !in_message) {
      limit = kStopIdleTime;
    }
    if (now - idle_since_ < limit) {
      return;
    }
    if (in_message) {
      Reject(body_waits_ ? 503 : 408);
    } else if (stream_.quiet()) {
      Retire();
    }
  }

  /// Leaves it to the kernel to send what the caller has not read, since this process ends soon.
  void HandToKernel() { stream_.SetSendBuffer(kStopSendBufferBytes); }

  void RejectIncomplete(int status) {
    if (!answering_ && !closing_ && reader_.inside_message()) {
      Reject(status);
    }
  }

  void SetOnCallerGone(std::function<void()> action) {
    if (!retired_) {
      on_caller_gone_ = std::move(action);
    }
  }
  void SetOnDrained(std::function<void()> action) {
    if (!retired_) {
      on_drained_ = std::move(action);
    }
  }
  [[nodiscard]] std::size_t unsent_bytes() const { return retired_ ? 0 : stream_.queued_bytes(); }

  void BeginAnswer(int status, const http_headers& headers) {
    std::string text = StatusLine(status);
    AppendHeaders(text, headers);
    text += "Transfer-Encoding: chunked\r\n";
    text += MustClose() ? "Connection: close\r\n\r\n" : "\r\n";
    Write(text);
  }

  void SendChunk(std::string_view bytes) {
    char size[24];
    const int length = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    std::string text(size, static_cast<std::size_t>(length));
    text += bytes;
    text += "\r\n";
    Write(text);
  }

  void EndChunks() {
    Write("0\r\n\r\n");
    FinishAnswer();
  }

  void AbortAnswer() {
    close_ = true;
    FinishAnswer();
  }

  void SendReply(int status, const http_headers& headers, std::string_view body) {
    std::string text = StatusLine(status);
    AppendHeaders(text, headers);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += MustClose() ? "Connection: close\r\n\r\n" : "\r\n";
    if (!head_request_) {
      text += body;
    }
    Write(text);
    FinishAnswer();
  }

 private:
  void BecomeIdle() {
    idle_since_ = timer_service::now();
    idle_timeout_ = owner_->limits.idle_timeout;
  }

  [[nodiscard]] bool MustClose() {
    close_ = close_ || owner_->close_after_answers;
    return close_;
  }

  void Write(std::string_view text) {
    if (retired_) {
      return;
    }
    stream_.Write(std::span(reinterpret_cast<const std::uint8_t*>(text.data()), text.size()));
    stream_.Flush();
    Account();
  }

  /// Counts what this connection holds now.
  void Account() {
    std::size_t incoming = 0;
    if (!retired_) {
      const std::size_t length =
          head_ && !body_waits_ ? static_cast<std::size_t>(head_->content_length.value_or(0)) : 0;
      incoming = std::max(length, body_.size()) + reader_.buffered();
    }
    const std::size_t unsent = unsent_bytes();
    http1_server::held_bytes& all = owner_->held;
    all.incoming += incoming - std::exchange(counted_.incoming, incoming);
    all.unsent += unsent - std::exchange(counted_.unsent, unsent);
    if (owner_->settings.on_held) {
      owner_->settings.on_held(all);
    }
  }

  [[nodiscard]] bool MayBeginBody() const {
    const auto& may_begin = owner_->settings.may_begin_body;
    return !may_begin || (!head_->chunked && !head_->content_length) ||
           may_begin(head_->chunked ? std::nullopt : head_->content_length);
  }

  /// Reads no further than the limit while a request is being answered. Closing the connection
  /// instead would reset it, and its caller could take the request in progress as unread.
  void LimitReadAhead() {
    const bool full = body_waits_ || (answering_ && reader_.buffered() > kMaxReadAheadBytes);
    if (std::exchange(reading_paused_, full) != full) {
      stream_.PauseReading(full);
    }
  }

  void ReadRequests() {
    while (!answering_ && !closing_ && !retired_ && !body_waits_) {
      http1_event found = reader_.Read();
      if (std::holds_alternative<http1_need_more>(found)) {
        return;
      }
      std::visit([this](auto& event) { Take(event); }, found);
    }
  }

  void Take(const http1_need_more& /*event*/) {}
  void Take(http1_head& head) {
    if (const auto expected = head.Find("Expect");
        expected && EqualsIgnoringCase(*expected, "100-continue")) {
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    head_ = std::move(head);
    body_waits_ = !MayBeginBody();
    Account();
  }
  void Take(http1_body& body) { body_ += body.bytes; }
  void Take(const http1_end& /*event*/);
  void Take(const http1_fault& fault) { Reject(StatusOf(fault)); }

  /// Rejects an unreadable request and closes the connection, since its framing is lost.
  void Reject(int status) {
    close_ = true;
    answering_ = true;
    body_waits_ = false;
    ++owner_->in_progress;
    head_request_ = false;
    SendReply(status, {}, ReasonPhrase(status));
  }

  void FinishAnswer() {
    if (!answering_) {
      return;
    }
    answering_ = false;
    on_caller_gone_ = {};
    on_drained_ = {};
    --owner_->in_progress;
    BecomeIdle();
    if (retired_) {
      return;
    }
    LimitReadAhead();
    if (close_) {
      closing_ = true;
      if (stream_.queued_bytes() == 0) {
        Retire();
      }
      return;
    }
    if (reader_.buffered() > 0) {
      owner_->settings.loop.Post([self = weak_from_this().lock()] { self->ReadRequests(); });
    }
  }

  void HandleCallerGone() {
    const auto self = shared_from_this();
    if (answering_) {
      answering_ = false;
      --owner_->in_progress;
    }
    const auto action = std::exchange(on_caller_gone_, {});
    on_drained_ = {};
    Retire();
    if (action) {
      action();
    }
  }

  void Retire() {
    if (retired_) {
      return;
    }
    retired_ = true;
    Account();
    if (stream_.queued_bytes() > 0) {
      stream_.Close();
    }
    // Otherwise nothing is left to write. A request that arrives in this loop iteration must stay
    // unread, so that its caller sees a reset instead of an orderly close.
    stream_.PauseReading(true);
    const auto self = weak_from_this().lock();
    owner_->connections.erase(self);
    owner_->settings.loop.Post([self] {});
  }

  std::shared_ptr<http1_server::state> owner_;
  http1_reader reader_;
  tcp_stream stream_;
  std::optional<http1_head> head_;
  std::string body_;
  std::function<void()> on_caller_gone_;
  std::function<void()> on_drained_;
  instant idle_since_{};
  milliseconds idle_timeout_{};  ///< In force when the connection became idle.
  bool answering_ = false;
  bool head_request_ = false;
  bool close_ = false;
  bool closing_ = false;
  bool reading_paused_ = false;
  bool body_waits_ = false;  ///< Until there is room for it.
  http1_server::held_bytes counted_;
  bool retired_ = false;
};

http1_answer& http1_answer::operator=(http1_answer&& other) noexcept {
  std::swap(connection_, other.connection_);
  return *this;
}

http1_answer::~http1_answer() {
  if (connection_) {
    connection_->AbortAnswer();
  }
}

void http1_answer::Abort() && {
  if (const auto to = Take()) {
    to->AbortAnswer();
  }
}

void http1_answer::OnCallerDisconnected(std::function<void()> action) {
  if (connection_) {
    connection_->SetOnCallerGone(std::move(action));
  }
}

void http1_responder::Reply(int status, const http_headers& headers, std::string_view body) && {
  if (const auto to = Take()) {
    to->SendReply(status, headers, body);
  }
}

http1_stream http1_responder::Begin(int status, const http_headers& headers) && {
  auto to = Take();
  if (to) {
    to->BeginAnswer(status, headers);
  }
  return http1_stream(std::move(to));
}

void http1_stream::Send(std::string_view bytes) {
  if (connection() != nullptr && !bytes.empty()) {
    connection()->SendChunk(bytes);
  }
}

void http1_stream::End() && {
  if (const auto to = Take()) {
    to->EndChunks();
  }
}

std::size_t http1_stream::unsent_bytes() const {
  return connection() != nullptr ? connection()->unsent_bytes() : 0;
}

void http1_stream::OnDrained(std::function<void()> action) {
  if (connection() != nullptr) {
    connection()->SetOnDrained(std::move(action));
  }
}

void http1_server_connection::Take(const http1_end& /*event*/) {
  http1_request request{
      .head = std::move(*head_), .body = std::move(body_), .received = timer_service::now()};
  head_.reset();
  body_ = {};
  Account();
  answering_ = true;
  ++owner_->in_progress;
  head_request_ = request.head.method == "HEAD";
  close_ = !request.head.keep_alive;
  owner_->settings.on_request(std::move(request), http1_responder(shared_from_this()));
}

void http1_server::state::OnAccept(evconnlistener* /*unused*/, evutil_socket_t socket,
                                   sockaddr* /*unused*/, int /*unused*/, void* context) {
  auto* self = static_cast<state*>(context);
  self->connections.insert(
      std::make_shared<http1_server_connection>(self->shared_from_this(), socket));
}

void http1_server::state::Sweep(instant now) {
  const std::vector<std::shared_ptr<http1_server_connection>> all(connections.begin(),
                                                                  connections.end());
  for (const auto& each : all) {
    each->CheckTimeout(now);
  }
}

http1_server::http1_server(std::shared_ptr<state> initial) : state_(std::move(initial)) {}

http1_server::~http1_server() {
  state_->listener.reset();
  state_->sweep.Cancel();
  std::exchange(state_->connections, {}).clear();
}

std::unique_ptr<http1_server> http1_server::Listen(options settings, std::string& error) {
  auto initial = std::make_shared<state>(std::move(settings));
  initial->listener = ListenOn(initial->settings.loop.base(), initial->settings.address, error);
  if (!initial->listener) {
    return nullptr;
  }
  evconnlistener_set_cb(initial->listener.get(), &state::OnAccept, initial.get());
  initial->sweep = initial->settings.timers.Every(
      kSweepPeriod, [raw = initial.get()](instant now) { raw->Sweep(now); });
  return std::unique_ptr<http1_server>(new http1_server(std::move(initial)));
}

void http1_server::SetLimits(const edge_limits& limits) { state_->limits = limits; }

void http1_server::CloseAfterAnswers() { state_->close_after_answers = true; }

void http1_server::StopAccepting() {
  if (std::exchange(state_->stopped_accepting, true)) {
    return;
  }
  // Closing the listener would reset the connections in the kernel's backlog.
  const evutil_socket_t listening = evconnlistener_get_fd(state_->listener.get());
  for (int socket = accept(listening, nullptr, nullptr); socket >= 0;
       socket = accept(listening, nullptr, nullptr)) {
    state::OnAccept(nullptr, socket, nullptr, 0, state_.get());
  }
  state_->listener.reset();
  for (const auto& each : state_->connections) {
    each->HandToKernel();
  }
  state_->Sweep(timer_service::now());
}

void http1_server::RejectIncomplete(int status) {
  const auto all = state_->connections;
  for (const auto& each : all) {
    each->RejectIncomplete(status);
  }
}

bool http1_server::closed() const { return state_->connections.empty(); }

std::size_t http1_server::in_progress() const { return state_->in_progress; }

std::uint16_t http1_server::port() const {
  return LocalPort(evconnlistener_get_fd(state_->listener.get()));
}

}  // namespace jacinthspool
