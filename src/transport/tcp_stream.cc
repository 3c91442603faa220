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

}  // namespace

struct tcp_stream::state {
  event_loop& loop;
  tcp_listener& listener;
  int socket = -1;
  event* readable = nullptr;
  event* writable = nullptr;
  evbuffer* output = evbuffer_new();
  tcp_options options;
  bool connecting = false;
  bool stopped = false;
  bool paused = false;

  state(event_loop& the_loop, tcp_listener& the_listener, const tcp_options& the_options)
      : loop(the_loop), listener(the_listener), options(the_options) {}
  state(const state&) = delete;
  state& operator=(const state&) = delete;

  ~state() {
    if (readable != nullptr) {
      event_free(readable);
      event_free(writable);
    }
    evbuffer_free(output);
    if (socket >= 0) {
      close(socket);
    }
  }

  void RegisterEvents(int the_socket) {
    socket = the_socket;
    SetSocketOptions(socket, options);
    readable = event_new(loop.base(), socket, EV_READ | EV_PERSIST, &state::OnReadable, this);
    writable = event_new(loop.base(), socket, EV_WRITE, &state::OnWritable, this);
  }

  void StopEvents() {
    stopped = true;
    if (readable != nullptr) {
      event_del(readable);
      event_del(writable);
    }
  }

  void Fail(const std::string& reason) {
    if (stopped) {
      return;
    }
    StopEvents();
    listener.OnFailed(reason);
  }

  void FinishConnect() {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error == ECONNREFUSED && !stopped) {
      StopEvents();
      listener.OnRefused(std::strerror(error));
      return;
    }
    if (error != 0) {
      Fail(std::strerror(error));
      return;
    }
    connecting = false;
    if (!paused) {
      event_add(readable, nullptr);
    }
    listener.OnConnected();
  }

  void Flush() {
    if (connecting || stopped) {
      return;
    }
    while (evbuffer_get_length(output) > 0) {
      const int written = evbuffer_write(output, socket);
      if (written < 0 && IsTransient(errno)) {
        event_add(writable, nullptr);
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
    for (int reads = 0; reads < kMaxReadsPerIteration && !stopped && !paused; ++reads) {
      const ssize_t length = recv(socket, buffer.data(), buffer.size(), 0);
      if (length < 0 && IsTransient(errno)) {
        break;
      }
      if (length < 0) {
        Fail(std::strerror(errno));
        return;
      }
      if (length == 0) {
        StopEvents();
        listener.OnClosed();
        return;
      }
      const auto count = static_cast<std::size_t>(length);
      listener.OnBytes(std::span(buffer).first(count));
      if (count < buffer.size()) {
        break;
      }
    }
    if (!stopped) {
      listener.OnReadEnd();
    }
  }

  static void OnReadable(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    static_cast<state*>(context)->Read();
  }

  static void OnWritable(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    auto* self = static_cast<state*>(context);
    if (self->connecting) {
      self->FinishConnect();
      return;
    }
    self->Flush();
    if (!self->stopped && evbuffer_get_length(self->output) == 0) {
      self->listener.OnDrained();
    }
  }
};

tcp_stream::tcp_stream(event_loop& loop, int socket, tcp_listener& listener,
                       const tcp_options& options)
    : state_(std::make_unique<state>(loop, listener, options)) {
  evutil_make_socket_nonblocking(socket);
  state_->RegisterEvents(socket);
  event_add(state_->readable, nullptr);
}

tcp_stream::tcp_stream(event_loop& loop, const std::string& address, tcp_listener& listener,
                       const tcp_options& options)
    : state_(std::make_unique<state>(loop, listener, options)) {
  state_->connecting = true;
  socket_address target;
  int descriptor = -1;
  if (ParseSocketAddress(address, target)) {
    descriptor = OpenSocket(target);
  }
  if (descriptor < 0) {
    // The listener is still being constructed and must not be called; its own timeout applies.
    return;
  }
  state_->RegisterEvents(descriptor);
  (void)connect(descriptor, target.get(), static_cast<socklen_t>(target.length));
  // A connect that fails immediately makes the socket writable as well.
  event_add(state_->writable, nullptr);
}

tcp_stream::~tcp_stream() = default;

void tcp_stream::Write(std::span<const std::uint8_t> bytes) {
  evbuffer_add(state_->output, bytes.data(), bytes.size());
}

void tcp_stream::Flush() { state_->Flush(); }

void tcp_stream::PauseReading(bool paused) {
  state_->paused = paused;
  if (state_->readable == nullptr || state_->connecting || state_->stopped) {
    return;
  }
  if (paused) {
    event_del(state_->readable);
  } else {
    event_add(state_->readable, nullptr);
  }
}

std::size_t tcp_stream::queued_bytes() const { return evbuffer_get_length(state_->output); }

bool tcp_stream::has_unread() const {
  std::uint8_t byte = 0;
  return state_->socket >= 0 && recv(state_->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace jacinthspool
