#include "src/transport/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <unordered_set>
#include <utility>

#include "src/transport/connection_pool.h"
#include "src/transport/event_time.h"
#include "src/transport/evhttp_handles.h"
#include "src/transport/socket_address.h"

namespace jacinthspool {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

const char* ErrorText(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return "timeout";
    case EVREQ_HTTP_EOF:
      return "the connection ended before the answer did";
    case EVREQ_HTTP_INVALID_HEADER:
      return "malformed answer";
    case EVREQ_HTTP_BUFFER_ERROR:
      return "the connection broke";
    case EVREQ_HTTP_REQUEST_CANCEL:
      return "cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
      return "the answer is too large";
  }
  return "unknown error";
}

bool FindMethod(const std::string& name, evhttp_cmd_type& type) {
  for (const http_method& method : kHttpMethods) {
    if (name == method.name) {
      type = method.type;
      return true;
    }
  }
  return false;
}

/// Whether the answer delimits its own body. For any other answer evhttp treats the
/// close of the connection as the end of the body.
bool IsFramed(const evhttp_request* answer, bool is_head) {
  const int status = evhttp_request_get_response_code(answer);
  if (is_head || status == kNoContent || status == kNotModified) {
    return true;
  }
  const evkeyvalq* fields = evhttp_request_get_input_headers(const_cast<evhttp_request*>(answer));
  return answer->chunked != 0 || evhttp_find_header(fields, "Content-Length") != nullptr;
}

/// \brief A request from Fetch until its answer has been delivered.
struct running_call : std::enable_shared_from_this<running_call> {
  event_loop& loop;
  http_request request;
  http_callbacks callbacks;
  http_response response = {};
  evhttp_connection_handle connection = {};
  evbuffer_cb_entry* output_watch = nullptr;
  std::function<void(running_call&)> release = {};  ///< Removes the call from the client's list.
  bool sent = false;
  bool reusable = false;
  bool ended = false;  ///< Cancelled, or delivery of the answer is scheduled.

  running_call(event_loop& the_loop, http_request the_request, http_callbacks the_callbacks)
      : loop(the_loop), request(std::move(the_request)), callbacks(std::move(the_callbacks)) {}

  void Begin(connection_pool& pool);
  void Finish();
  void Fail(const std::string& error);
  void Cancel();
  void Unwatch();

  [[nodiscard]] evbuffer* output() const {
    return bufferevent_get_output(evhttp_connection_get_bufferevent(connection.get()));
  }
  evhttp_request* NewRequest();

  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* change, void* context);
  static void OnChunk(evhttp_request* answer, void* context);
  static void OnError(evhttp_request_error error, void* context);
  static void OnDone(evhttp_request* answer, void* context);
};

evhttp_request* running_call::NewRequest() {
  evhttp_request* outgoing = evhttp_request_new(&running_call::OnDone, this);
  evhttp_request_set_error_cb(outgoing, &running_call::OnError);
  if (callbacks.on_chunk != nullptr) {
    evhttp_request_set_chunked_cb(outgoing, &running_call::OnChunk);
  }
  evkeyvalq* fields = evhttp_request_get_output_headers(outgoing);
  AddHeaders(fields, request.headers);
  if (evhttp_find_header(fields, "Host") == nullptr) {
    evhttp_add_header(fields, "Host", request.address.c_str());
  }
  if (!request.body.empty() && evhttp_find_header(fields, "Content-Length") == nullptr) {
    evhttp_add_header(fields, "Content-Length", std::to_string(request.body.size()).c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(),
               request.body.size());
  return outgoing;
}

void running_call::Begin(connection_pool& pool) {
  evhttp_cmd_type method{};
  if (!FindMethod(request.method, method)) {
    Fail("unknown method " + request.method);
    return;
  }
  connection = pool.Take(request.address);
  if (connection == nullptr) {
    Fail("not an address of the form IP:PORT: " + request.address);
    return;
  }
  const timeval silence = ToTimeval(request.timeout);
  evhttp_connection_set_timeout_tv(connection.get(), &silence);
  output_watch = evbuffer_add_cb(output(), &running_call::OnOutput, this);
  if (evhttp_make_request(connection.get(), NewRequest(), method, request.target.c_str()) != 0) {
    Fail("cannot connect to " + request.address);
  }
}

// evhttp's callbacks run inside the connection, which must not be freed there. The
// answer is therefore delivered in a later loop iteration.
void running_call::Finish() {
  if (ended) {
    return;
  }
  ended = true;
  response.never_sent = !sent;
  loop.Post([self = shared_from_this()] {
    self->Unwatch();
    self->release(*self);
    if (self->callbacks.on_done != nullptr) {
      std::exchange(self->callbacks.on_done, nullptr)(std::move(self->response));
    }
  });
}

void running_call::Fail(const std::string& error) {
  response.status = 0;
  response.error = error;
  Finish();
}

void running_call::Cancel() {
  ended = true;
  reusable = false;
  if (connection != nullptr) {
    // The connection is freed in a later loop iteration; nothing is sent until then.
    shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection.get())), SHUT_RDWR);
  }
  loop.Post([self = shared_from_this()] {
    self->Unwatch();
    self->connection.reset();
    self->release(*self);
  });
}

void running_call::Unwatch() {
  if (output_watch != nullptr && connection != nullptr) {
    evbuffer_remove_cb_entry(output(), std::exchange(output_watch, nullptr));
  }
}

void running_call::OnOutput(evbuffer* /*unused*/, const evbuffer_cb_info* change, void* context) {
  auto* self = static_cast<running_call*>(context);
  if (!self->sent && change->n_added > 0) {
    self->sent = true;
    DisableDelay(bufferevent_getfd(evhttp_connection_get_bufferevent(self->connection.get())));
  }
}

void running_call::OnChunk(evhttp_request* answer, void* context) {
  auto* self = static_cast<running_call*>(context);
  if (!self->ended) {
    const auto keep = self->shared_from_this();
    const std::string text = TakeAll(evhttp_request_get_input_buffer(answer));
    self->callbacks.on_chunk(evhttp_request_get_response_code(answer), text);
  }
}

void running_call::OnError(evhttp_request_error error, void* context) {
  static_cast<running_call*>(context)->response.error = ErrorText(error);
}

void running_call::OnDone(evhttp_request* answer, void* context) {
  auto* self = static_cast<running_call*>(context);
  if (self->ended) {
    // Cancelled in this loop iteration; the connection is closed with the call.
    return;
  }
  if (answer == nullptr || evhttp_request_get_response_code(answer) == 0) {
    const std::string known = self->response.error;
    self->Fail(known.empty() ? "no connection to " + self->request.address : known);
    return;
  }
  self->response.headers = CopyHeaders(evhttp_request_get_input_headers(answer));
  if (!IsFramed(answer, self->request.method == "HEAD")) {
    self->Fail("the answer's body has no end of its own");
    return;
  }
  self->response.status = evhttp_request_get_response_code(answer);
  self->response.body = TakeAll(evhttp_request_get_input_buffer(answer));
  self->reusable = true;
  self->Finish();
}

class owned_call : public http_call {
 public:
  explicit owned_call(const std::shared_ptr<running_call>& call) : call_(call) {}
  ~owned_call() override { owned_call::Cancel(); }
  owned_call(const owned_call&) = delete;
  owned_call& operator=(const owned_call&) = delete;

  void Cancel() override {
    const auto call = call_.lock();
    call_.reset();
    if (call != nullptr) {
      call->callbacks.on_done = nullptr;
      call->Cancel();
    }
  }

 private:
  std::weak_ptr<running_call> call_;
};

}  // namespace

struct http_client::state {
  event_loop& loop;
  connection_pool pool;
  std::unordered_set<std::shared_ptr<running_call>> calls;
};

http_client::http_client(event_loop& loop)
    : state_(new state{.loop = loop, .pool = connection_pool(loop), .calls = {}}) {}

http_client::~http_client() {
  for (const auto& call : std::exchange(state_->calls, {})) {
    call->release = [](running_call&) {};
    call->callbacks.on_done = nullptr;
    call->Cancel();
  }
}

std::unique_ptr<http_call> http_client::Fetch(http_request request, http_callbacks callbacks) {
  auto call =
      std::make_shared<running_call>(state_->loop, std::move(request), std::move(callbacks));
  call->release = [self = state_.get()](running_call& done) {
    if (done.reusable) {
      self->pool.Return(done.request.address, std::move(done.connection));
    }
    self->calls.erase(done.shared_from_this());
  };
  state_->calls.insert(call);
  call->Begin(state_->pool);
  return std::make_unique<owned_call>(call);
}

}  // namespace jacinthspool
