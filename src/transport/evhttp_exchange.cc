#include "src/transport/evhttp_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <strings.h>

#include <utility>

#include "src/transport/evhttp_handles.h"

namespace jacinthspool {
namespace {

constexpr int kInternalError = 500;

std::string MethodName(const evhttp_request* request) {
  for (const http_method& method : kHttpMethods) {
    if (method.type == evhttp_request_get_command(request)) {
      return method.name;
    }
  }
  return {};
}

std::string PathOf(const evhttp_request* request) {
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  return path == nullptr ? std::string() : path;
}

evbuffer_handle BufferOf(std::string_view text) {
  evbuffer_handle buffer(evbuffer_new());
  evbuffer_add(buffer.get(), text.data(), text.size());
  return buffer;
}

/// After an error evhttp detaches an unanswered request from its connection and
/// leaves freeing it to the request handler. Otherwise it frees both itself.
void FreeIfDetached(evhttp_request* request) {
  if (evhttp_request_get_connection(request) == nullptr) {
    evhttp_request_free(request);
  }
}

/// A connection that is freed in a later loop iteration, unless evhttp frees it first.
class closing_connection {
 public:
  closing_connection(evhttp_connection* connection, evhttp_request* request)
      : connection_(connection), request_(request) {
    evhttp_connection_set_closecb(connection, &closing_connection::OnClosed, this);
  }

  void Free() {
    if (connection_ != nullptr) {
      evhttp_connection_free(connection_);
    }
  }

 private:
  static void OnClosed(evhttp_connection* /*unused*/, void* context) {
    auto* self = static_cast<closing_connection*>(context);
    self->connection_ = nullptr;
    FreeIfDetached(self->request_);
  }

  evhttp_connection* connection_;
  evhttp_request* request_;
};

}  // namespace

evhttp_exchange::evhttp_exchange(event_loop& loop, evhttp_request* request)
    : loop_(loop),
      request_(request),
      connection_(evhttp_request_get_connection(request)),
      method_(MethodName(request)),
      target_(evhttp_request_get_uri(request)),
      path_(PathOf(request)),
      body_(TakeAll(evhttp_request_get_input_buffer(request))),
      headers_(CopyHeaders(evhttp_request_get_input_headers(request))) {
  evhttp_connection_set_closecb(connection_, &evhttp_exchange::OnClosed, this);
  watch_ = std::make_unique<disconnect_watch>(loop, bufferevent_getfd(stream()),
                                              [this] { evhttp_connection_free(connection_); });
}

evhttp_exchange::~evhttp_exchange() {
  on_caller_gone_ = nullptr;
  if (streaming_) {
    AbortStream();
  } else {
    Reply(kInternalError, {}, {});
  }
}

std::string evhttp_exchange::header(std::string_view name) const {
  for (const auto& [key, value] : headers_) {
    if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

void evhttp_exchange::Reply(int status, const http_headers& headers, std::string_view body) {
  if (request_ == nullptr || streaming_) {
    return;
  }
  evhttp_request* request = request_;
  Detach();
  AddHeaders(evhttp_request_get_output_headers(request), headers);
  const evbuffer_handle buffer = BufferOf(body);
  evhttp_send_reply(request, status, nullptr, buffer.get());
}

void evhttp_exchange::StartStream(int status, const http_headers& headers) {
  if (request_ == nullptr || streaming_) {
    return;
  }
  streaming_ = true;
  AddHeaders(evhttp_request_get_output_headers(request_), headers);
  evhttp_send_reply_start(request_, status, nullptr);
}

void evhttp_exchange::SendChunk(std::string_view text) {
  if (request_ == nullptr || !streaming_ || text.empty()) {
    return;
  }
  const evbuffer_handle buffer = BufferOf(text);
  evhttp_send_reply_chunk(request_, buffer.get());
}

void evhttp_exchange::EndStream() {
  if (request_ == nullptr || !streaming_) {
    return;
  }
  evhttp_request* request = request_;
  Detach();
  evhttp_send_reply_end(request);
}

void evhttp_exchange::AbortStream() {
  if (request_ == nullptr) {
    return;
  }
  evhttp_request* request = request_;
  Detach();
  // This function may be called from a callback of the connection, which must not be freed there.
  auto closing = std::make_shared<closing_connection>(connection_, request);
  loop_.Post([closing] { closing->Free(); });
}

void evhttp_exchange::OnCallerDisconnected(std::function<void()> action) {
  on_caller_gone_ = std::move(action);
}

std::size_t evhttp_exchange::queued_bytes() const {
  return request_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(stream()));
}

void evhttp_exchange::OnClosed(evhttp_connection* /*unused*/, void* context) {
  auto* self = static_cast<evhttp_exchange*>(context);
  FreeIfDetached(self->request_);
  self->Detach();
  self->loop_.Post([weak = self->weak_from_this()] {
    const auto exchange = weak.lock();
    if (exchange != nullptr && exchange->on_caller_gone_ != nullptr) {
      std::exchange(exchange->on_caller_gone_, nullptr)();
    }
  });
}

bufferevent* evhttp_exchange::stream() const {
  return evhttp_connection_get_bufferevent(connection_);
}

void evhttp_exchange::Detach() {
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  request_ = nullptr;
  watch_.reset();
}

}  // namespace jacinthspool
