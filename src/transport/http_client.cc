#include "src/transport/http_client.h"

#include <algorithm>
#include <limits>
#include <unordered_set>
#include <utility>

#include "src/transport/http1_client.h"
#include "src/transport/http_status.h"
#include "src/transport/socket_address.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {
namespace {

/// Connections idle for longer are not reused, since the server may be closing them.
constexpr milliseconds kMaxIdle = seconds(5);
constexpr std::size_t kMaxIdleConnections = 64;
constexpr std::size_t kMaxHeadBytes = 64U << 10U;

/// \returns true for text that can stand in a header or request line.
bool IsOneLine(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

/// \returns true for text without white space or control characters.
bool IsOneWord(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char each) {
    return static_cast<unsigned char>(each) > ' ';
  });
}

bool HasHeader(const http_headers& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const auto& each) { return EqualsIgnoringCase(each.first, name); });
}

/// \returns false when the request cannot be written as one HTTP message.
bool IsSound(const http_request& request) {
  return IsOneWord(request.method) && IsOneWord(request.target) &&
         std::all_of(request.headers.begin(), request.headers.end(), [](const auto& each) {
           return IsOneWord(each.first) && IsOneLine(each.second);
         });
}

/// \returns The request's bytes; a length is stated for each method that may have a body.
std::string Encode(const http_request& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  const auto append = [&](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  };
  for (const auto& [name, value] : request.headers) {
    append(name, value);
  }
  if (!HasHeader(request.headers, "Host")) {
    append("Host", request.address);
  }
  const bool may_have_body =
      request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
  if ((may_have_body || !request.body.empty()) && !HasHeader(request.headers, "Content-Length")) {
    append("Content-Length", std::to_string(request.body.size()));
  }
  return text + "\r\n" + request.body;
}

}  // namespace

struct http_client::state {
  explicit state(event_loop& the_loop)
      : loop(the_loop),
        timers(the_loop),
        client({.loop = the_loop,
                .timers = timers,
                .max_head_bytes = kMaxHeadBytes,
                .max_idle_connections = kMaxIdleConnections}) {}

  class running_call;
  class owned_call;
  event_loop& loop;
  timer_service timers;
  http1_client client;
  std::unordered_set<std::shared_ptr<running_call>> calls;
  std::size_t held_bytes = 0;  ///< Of the bodies of all calls.
};

/// A request from Fetch until its answer has been delivered.
class http_client::state::running_call : public http1_call_listener,
                                         public std::enable_shared_from_this<running_call> {
 public:
  running_call(state& owner, http_request request, http_callbacks callbacks)
      : owner_(&owner),
        request_(std::move(request)),
        callbacks_(std::move(callbacks)),
        last_heard_(timer_service::now()) {}
  running_call(const running_call&) = delete;
  running_call& operator=(const running_call&) = delete;

  void Begin() {
    socket_address parsed;
    if (!ParseSocketAddress(request_.address, parsed)) {
      Fail("not an address of the form IP:PORT: " + request_.address);
      return;
    }
    if (!IsSound(request_)) {
      Fail("the request has bytes that HTTP does not allow");
      return;
    }
    call_ = owner_->client.Start(
        {.address = request_.address,
         .bytes = Encode(request_),
         .expects_body = request_.method != "HEAD",
         .connect_timeout = std::chrono::ceil<milliseconds>(request_.timeout),
         .max_idle = kMaxIdle,
         .max_body_bytes = callbacks_.on_chunk != nullptr ? std::numeric_limits<std::size_t>::max()
                                                          : request_.max_body_bytes},
        *this);
    const microseconds limit =
        request_.time_limit > microseconds(0) ? request_.time_limit : 2 * request_.timeout;
    end_timer_ = owner_->timers.After(
        limit, [this](instant /*now*/) { GiveUp("the answer did not end in time"); });
    CheckSilenceAfter(request_.timeout);
  }

  /// Ends the call without calling back; the client may be destroyed afterwards.
  void Cancel() {
    const auto keep = weak_from_this().lock();
    Leave();
    Close();
  }

  head_action OnHead(const http1_head& head) override {
    last_heard_ = timer_service::now();
    response_.status = head.status;
    response_.headers = head.headers;
    framed_ = head.chunked || head.content_length.has_value() || request_.method == "HEAD" ||
              head.status == http_status::kNoContent || head.status == http_status::kNotModified;
    return head_action::kAccept;
  }

  void OnBody(std::string_view bytes) override {
    const auto keep = shared_from_this();
    last_heard_ = timer_service::now();
    if (callbacks_.on_chunk != nullptr) {
      callbacks_.on_chunk(response_.status, bytes);
      return;
    }
    if (owner_->held_bytes + bytes.size() > kMaxHeldBytes) {
      GiveUp("the answers of all calls together are too large");
      return;
    }
    owner_->held_bytes += bytes.size();
    response_.body += bytes;
  }

  void OnEnd(call_outcome end, const std::string& reason) override {
    if (end != call_outcome::kWhole) {
      Fail(std::string(ToString(end)) + ": " + reason);
    } else if (!framed_) {
      Fail("the answer's body has no end of its own");
    } else {
      Deliver();
    }
  }

 private:
  void CheckSilenceAfter(microseconds wait) {
    silence_timer_ = owner_->timers.After(wait, [this](instant now) {
      const microseconds rest = request_.timeout - (now - last_heard_);
      if (rest > microseconds(0)) {
        CheckSilenceAfter(rest);
      } else {
        GiveUp("timeout");
      }
    });
  }

  void Close() {
    if (call_ != nullptr) {
      sent_ = call_->trace().written > 0;
      call_.reset();
    }
    end_timer_.Cancel();
    silence_timer_.Cancel();
  }

  void GiveUp(const std::string& reason) {
    Close();
    Fail(reason);
  }

  void Fail(const std::string& error) {
    owner_->held_bytes -= response_.body.size();
    response_ = {.status = 0, .error = error};
    Deliver();
  }

  /// The owner may destroy the call in its callback, so the answer is delivered in a later loop
  /// iteration.
  void Deliver() {
    Close();
    response_.never_sent = !sent_;
    owner_->loop.Post([self = shared_from_this()] {
      if (self->owner_ != nullptr) {
        self->Leave();
        self->callbacks_.on_done(std::move(self->response_));
      }
    });
  }

  /// Takes the call from its client's list.
  void Leave() {
    if (state* const left = std::exchange(owner_, nullptr)) {
      left->held_bytes -= response_.body.size();
      left->calls.erase(weak_from_this().lock());
    }
  }

  state* owner_;  ///< Null once the call was cancelled or its answer delivered.
  http_request request_;
  http_callbacks callbacks_;
  http_response response_;
  std::unique_ptr<http1_call> call_;
  timer_subscription end_timer_;
  timer_subscription silence_timer_;
  instant last_heard_;
  bool framed_ = false;  ///< The answer delimits its own body.
  bool sent_ = false;    ///< Bytes of the request were sent.
};

class http_client::state::owned_call : public http_call {
 public:
  explicit owned_call(const std::shared_ptr<running_call>& call) : call_(call) {}
  ~owned_call() override { owned_call::Cancel(); }
  owned_call(const owned_call&) = delete;
  owned_call& operator=(const owned_call&) = delete;

  void Cancel() override {
    const auto call = call_.lock();
    call_.reset();
    if (call != nullptr) {
      call->Cancel();
    }
  }

 private:
  std::weak_ptr<running_call> call_;
};

http_client::http_client(event_loop& loop) : state_(std::make_unique<state>(loop)) {}

http_client::~http_client() {
  while (!state_->calls.empty()) {
    (*state_->calls.begin())->Cancel();
  }
}

std::unique_ptr<http_call> http_client::Fetch(http_request request, http_callbacks callbacks) {
  const auto call =
      std::make_shared<state::running_call>(*state_, std::move(request), std::move(callbacks));
  state_->calls.insert(call);
  call->Begin();
  return std::make_unique<state::owned_call>(call);
}

}  // namespace jacinthspool
