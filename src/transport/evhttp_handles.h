#ifndef JACINTHSPOOL_TRANSPORT_EVHTTP_HANDLES_H_
#define JACINTHSPOOL_TRANSPORT_EVHTTP_HANDLES_H_

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include <memory>
#include <string>

#include "src/transport/http_server.h"

/// \file
/// \brief Owning handles and conversions for the libevent types of the HTTP server.

namespace jacinthspool {

struct evbuffer_deleter {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using evbuffer_handle = std::unique_ptr<evbuffer, evbuffer_deleter>;

/// \brief Removes and returns all bytes of the buffer.
inline std::string TakeAll(evbuffer* buffer) {
  std::string text(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, text.data(), text.size());
  return text;
}

inline http_headers CopyHeaders(const evkeyvalq* fields) {
  http_headers headers;
  for (const evkeyval* field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
    headers.emplace_back(field->key, field->value);
  }
  return headers;
}

inline void AddHeaders(evkeyvalq* fields, const http_headers& headers) {
  for (const auto& [name, value] : headers) {
    evhttp_add_header(fields, name.c_str(), value.c_str());
  }
}

/// \brief An HTTP/1.1 method and its libevent constant.
struct http_method {
  evhttp_cmd_type type;
  const char* name;
};
inline constexpr http_method kHttpMethods[] = {
    {EVHTTP_REQ_GET, "GET"},        {EVHTTP_REQ_POST, "POST"},   {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},  {EVHTTP_REQ_PATCH, "PATCH"}, {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"}};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_EVHTTP_HANDLES_H_
