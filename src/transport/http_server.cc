#include "src/transport/http_server.h"

#include <event2/http.h>
#include <event2/listener.h>

#include <utility>

#include "src/transport/evhttp_exchange.h"
#include "src/transport/evhttp_handles.h"
#include "src/transport/socket_address.h"

namespace jacinthspool {
namespace {

constexpr int kBodyTooLarge = 413;

std::uint16_t AllMethods() {
  unsigned methods = 0;
  for (const http_method& method : kHttpMethods) {
    methods |= static_cast<unsigned>(method.type);
  }
  return static_cast<std::uint16_t>(methods);
}

}  // namespace

struct http_server::state {
  options settings;
  evhttp* http = nullptr;
  evhttp_bound_socket* listening = nullptr;
  std::uint16_t port = 0;

  ~state() {
    if (http != nullptr) {
      evhttp_free(http);
    }
  }

  static void OnRequest(evhttp_request* request, void* context) {
    const auto* self = static_cast<state*>(context);
    auto exchange = std::make_shared<evhttp_exchange>(self->settings.loop, request);
    if (exchange->body().size() > self->settings.max_body_bytes) {
      exchange->Reply(kBodyTooLarge, {}, {});
      return;
    }
    self->settings.on_request(std::move(exchange));
  }
};

http_server::http_server(std::unique_ptr<state> initial) : state_(std::move(initial)) {}
http_server::~http_server() = default;

std::unique_ptr<http_server> http_server::Listen(options settings, std::string& error) {
  listener_handle listener = ListenOn(settings.loop.base(), settings.address, error);
  if (listener == nullptr) {
    return nullptr;
  }
  auto initial = std::unique_ptr<state>(new state{.settings = std::move(settings)});
  initial->port = LocalPort(evconnlistener_get_fd(listener.get()));
  initial->http = evhttp_new(initial->settings.loop.base());
  evhttp_set_allowed_methods(initial->http, AllMethods());
  evhttp_set_max_headers_size(initial->http,
                              static_cast<ev_ssize_t>(initial->settings.max_header_bytes));
  evhttp_set_max_body_size(initial->http,
                           static_cast<ev_ssize_t>(initial->settings.max_body_bytes));
  evhttp_set_default_content_type(initial->http, nullptr);
  evhttp_set_gencb(initial->http, &state::OnRequest, initial.get());
  initial->listening = evhttp_bind_listener(initial->http, listener.release());
  return std::unique_ptr<http_server>(new http_server(std::move(initial)));
}

void http_server::StopAccepting() {
  if (state_->listening != nullptr) {
    evhttp_del_accept_socket(state_->http, std::exchange(state_->listening, nullptr));
  }
}

std::uint16_t http_server::port() const { return state_->port; }

}  // namespace jacinthspool
