#include "src/transport/tcp_stream.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <variant>

#include "jacinthspool/impl/overloaded.h"
#include "jacinthspool/impl/time.h"
#include "src/transport/socket_address.h"

namespace jacinthspool {
namespace {

constexpr std::size_t kReadBytes = 64U << 10U;
/// After this many reads a connection yields the loop to the others.
constexpr int kMaxReadsPerIteration = 16;

/// Idle time before the first keep-alive probe, and interval between probes, in seconds.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
/// Number of unanswered probes after which the connection fails.
constexpr int kKeepAliveProbes = 2;

int OpenSocket(const socket_address& target) {
  return socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

void SetSocketOptions(int socket, const tcp_options& options) {
  DisableDelay(socket);
  const auto timeout = static_cast<unsigned>(options.user_timeout.count());
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  if (options.keep_alive_probes) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleS, sizeof(kKeepAliveIdleS));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalS,
               sizeof(kKeepAliveIntervalS));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(kKeepAliveProbes));
  }
}

bool IsTransient(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

struct event_deleter {
  void operator()(event* source) const { event_free(source); }
};
struct buffer_deleter {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using event_handle = std::unique_ptr<event, event_deleter>;
using buffer_handle = std::unique_ptr<evbuffer, buffer_deleter>;

/// Owns a descriptor.
class socket_handle {
 public:
  socket_handle() = default;
  explicit socket_handle(int descriptor) : descriptor_(descriptor) {}
  socket_handle(socket_handle&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  socket_handle& operator=(socket_handle&& other) noexcept {
    socket_handle(std::move(other)).swap(*this);
    return *this;
  }
  ~socket_handle() {
    if (descriptor_ >= 0) {
      close(descriptor_);
    }
  }
  [[nodiscard]] int get() const { return descriptor_; }
  void swap(socket_handle& other) noexcept { std::swap(descriptor_, other.descriptor_); }

 private:
  int descriptor_ = -1;
};

/// What a stream has until it is closed; the events are removed before the descriptor is closed.
struct open_socket {
  socket_handle descriptor;
  event_handle readable;
  event_handle writable;
  buffer_handle output{evbuffer_new()};
};
struct connecting : open_socket {};
struct connected : open_socket {};
struct closed_socket {};
using stream_phase = std::variant<connecting, connected, closed_socket>;

}  // namespace

struct tcp_stream::state : std::enable_shared_from_this<tcp_stream::state> {
  event_loop& loop;
  tcp_listener& listener;  ///< Once the stream is closed, called at most to report its end.
  tcp_options options;
  stream_phase phase;
  bool paused = false;

  state(event_loop& the_loop, tcp_listener& the_listener, const tcp_options& the_options)
      : loop(the_loop), listener(the_listener), options(the_options) {}

  void Register(open_socket& target, int descriptor) {
    target.descriptor = socket_handle(descriptor);
    SetSocketOptions(descriptor, options);
    target.readable.reset(
        event_new(loop.base(), descriptor, EV_READ | EV_PERSIST, &state::OnReadable, this));
    target.writable.reset(event_new(loop.base(), descriptor, EV_WRITE, &state::OnWritable, this));
  }

  [[nodiscard]] open_socket* open() {
    return std::visit(overloaded{[](closed_socket&) -> open_socket* { return nullptr; },
                                 [](auto& target) -> open_socket* { return &target; }},
                      phase);
  }

  void Close() { phase = stream_phase(closed_socket()); }

  void Fail(const std::string& reason) {
    Close();
    listener.OnFailed(reason);
  }

  void FinishConnect(connecting& pending) {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(pending.descriptor.get(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error == ECONNREFUSED) {
      Close();
      listener.OnRefused(std::strerror(error));
      return;
    }
    if (error != 0) {
      Fail(std::strerror(error));
      return;
    }
    connected established{std::move(pending)};
    if (!paused) {
      event_add(established.readable.get(), nullptr);
    }
    phase = std::move(established);
    listener.OnConnected();
  }

  void Flush() {
    for (auto* target = std::get_if<connected>(&phase);
         target != nullptr && evbuffer_get_length(target->output.get()) > 0;
         target = std::get_if<connected>(&phase)) {
      const int written = evbuffer_write(target->output.get(), target->descriptor.get());
      if (written < 0 && IsTransient(errno)) {
        event_add(target->writable.get(), nullptr);
        return;
      }
      if (written < 0) {
        Fail(std::strerror(errno));
        return;
      }
      listener.OnWritten(static_cast<std::size_t>(written));
    }
  }

  void Read() {
    static std::array<std::uint8_t, kReadBytes> buffer;
    for (int reads = 0; reads < kMaxReadsPerIteration && !paused; ++reads) {
      const auto* source = std::get_if<connected>(&phase);
      if (source == nullptr) {
        return;
      }
      const ssize_t length = recv(source->descriptor.get(), buffer.data(), buffer.size(), 0);
      if (length < 0 && IsTransient(errno)) {
        break;
      }
      if (length < 0) {
        Fail(std::strerror(errno));
        return;
      }
      if (length == 0) {
        Close();
        listener.OnClosed();
        return;
      }
      const auto count = static_cast<std::size_t>(length);
      listener.OnBytes(std::span(buffer).first(count));
      if (count < buffer.size()) {
        break;
      }
    }
    if (std::holds_alternative<connected>(phase)) {
      listener.OnReadEnd();
    }
  }

  void HandleWritable() {
    if (auto* pending = std::get_if<connecting>(&phase)) {
      FinishConnect(*pending);
      return;
    }
    Flush();
    const auto* target = std::get_if<connected>(&phase);
    if (target != nullptr && evbuffer_get_length(target->output.get()) == 0) {
      listener.OnDrained();
    }
  }

  // The listener may destroy the stream, so each event holds its state.
  static void OnReadable(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    static_cast<state*>(context)->shared_from_this()->Read();
  }

  static void OnWritable(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    static_cast<state*>(context)->shared_from_this()->HandleWritable();
  }
};

tcp_stream::tcp_stream(event_loop& loop, int socket, tcp_listener& listener,
                       const tcp_options& options)
    : state_(std::make_shared<state>(loop, listener, options)) {
  evutil_make_socket_nonblocking(socket);
  connected accepted;
  state_->Register(accepted, socket);
  event_add(accepted.readable.get(), nullptr);
  state_->phase = std::move(accepted);
}

tcp_stream::tcp_stream(event_loop& loop, const std::string& address, tcp_listener& listener,
                       const tcp_options& options)
    : state_(std::make_shared<state>(loop, listener, options)) {
  socket_address target;
  int descriptor = -1;
  if (ParseSocketAddress(address, target)) {
    descriptor = OpenSocket(target);
  }
  if (descriptor < 0) {
    // The listener is still being constructed and must not be called; its own timeout applies.
    return;
  }
  auto& pending = std::get<connecting>(state_->phase);
  state_->Register(pending, descriptor);
  (void)connect(descriptor, target.get(), static_cast<socklen_t>(target.length));
  // A connect that fails immediately makes the socket writable as well.
  event_add(pending.writable.get(), nullptr);
}

tcp_stream::~tcp_stream() { state_->Close(); }

void tcp_stream::Write(std::span<const std::uint8_t> bytes) {
  if (const open_socket* target = state_->open()) {
    evbuffer_add(target->output.get(), bytes.data(), bytes.size());
  }
}

void tcp_stream::Flush() {
  const auto kept = state_;
  kept->Flush();
}

void tcp_stream::Close() { state_->Close(); }

void tcp_stream::PauseReading(bool paused) {
  state_->paused = paused;
  const auto* source = std::get_if<connected>(&state_->phase);
  if (source == nullptr) {
    return;
  }
  if (paused) {
    event_del(source->readable.get());
  } else {
    event_add(source->readable.get(), nullptr);
  }
}

void tcp_stream::SetSendBuffer(int bytes) {
  if (const open_socket* target = state_->open()) {
    setsockopt(target->descriptor.get(), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
  }
}

std::size_t tcp_stream::queued_bytes() const {
  const open_socket* target = state_->open();
  return target != nullptr ? evbuffer_get_length(target->output.get()) : 0;
}

bool tcp_stream::quiet() const {
  const open_socket* target = state_->open();
  std::uint8_t byte = 0;
  return target != nullptr &&
         recv(target->descriptor.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         IsTransient(errno);
}

}  // namespace jacinthspool
