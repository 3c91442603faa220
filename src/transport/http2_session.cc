#include "src/transport/http2_session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace jacinthspool {
namespace {

constexpr std::uint32_t kMaxStreams = 16384;
constexpr std::uint32_t kStreamWindowBytes = 16U << 20U;
constexpr std::int32_t kConnectionWindowBytes = 64 << 20;
/// Limit for bytes that are framed but not yet written to the socket, so that an
/// urgent stream does not have to wait behind frames of the others.
constexpr std::size_t kMaxFramedBytes = 256U << 10U;

/// After this many full output queues a connection yields the loop to the others.
constexpr int kMaxFlushRounds = 8;
/// The sent part at the front of a queue is erased once it has this length.
constexpr std::size_t kCompactThresholdBytes = 64U << 10U;

constexpr std::string_view kAuthority = "jacinthspool";
constexpr std::string_view kPathHeader = ":path";
constexpr std::string_view kStatusHeader = ":status";
constexpr std::string_view kRequestHeader = "x-request-id";
constexpr std::string_view kStatusOk = "200";

nghttp2_nv Field(std::string_view name, std::string_view value,
                 std::uint8_t flags = NGHTTP2_NV_FLAG_NONE) {
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  return {.name = bytes(name),
          .value = bytes(value),
          .namelen = name.size(),
          .valuelen = value.size(),
          .flags = flags};
}

}  // namespace

/// Callbacks for nghttp2; each receives the session as `context`.
struct http2_session::callbacks {
  static http2_session& Self(void* context) { return *static_cast<http2_session*>(context); }

  static int OnBeginHeaders(nghttp2_session* /*unused*/, const nghttp2_frame* frame,
                            void* context) {
    http2_session& self = Self(context);
    if (self.is_server_) {
      self.streams_.try_emplace(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnHeader(nghttp2_session* /*unused*/, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_length, const std::uint8_t* value,
                      std::size_t value_length, std::uint8_t /*unused*/, void* context) {
    http2_session& self = Self(context);
    const std::string_view key(reinterpret_cast<const char*>(name), name_length);
    const std::string_view text(reinterpret_cast<const char*>(value), value_length);
    const auto found = self.streams_.find(frame->hd.stream_id);
    if (self.is_server_ && found != self.streams_.end()) {
      if (key == kPathHeader) {
        found->second.opening.path = text;
      } else if (key == kRequestHeader) {
        found->second.opening.request = text;
      }
    } else if (key == kStatusHeader && text != kStatusOk) {
      self.Fail("stream answered with status " + std::string(text));
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    return 0;
  }

  static int OnFrame(nghttp2_session* /*unused*/, const nghttp2_frame* frame, void* context) {
    http2_session& self = Self(context);
    const stream_id stream = frame->hd.stream_id;
    const auto found = self.streams_.find(stream);
    if (frame->hd.type == NGHTTP2_HEADERS && self.is_server_ &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST && found != self.streams_.end()) {
      self.Respond(stream);
      self.listener_.OnStreamOpen(stream, found->second.opening);
    }
    const bool may_end = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (may_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      self.listener_.OnStreamEnd(stream);
    }
    return 0;
  }

  static int OnData(nghttp2_session* /*unused*/, std::uint8_t /*unused*/, stream_id stream,
                    const std::uint8_t* data, std::size_t length, void* context) {
    const bool go_on = Self(context).listener_.OnStreamData(stream, std::span(data, length));
    return go_on ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int OnClosed(nghttp2_session* /*unused*/, stream_id stream, std::uint32_t /*unused*/,
                      void* context) {
    http2_session& self = Self(context);
    const auto found = self.streams_.find(stream);
    if (found != self.streams_.end()) {
      self.queued_ -= found->second.queue.size() - found->second.sent;
      self.streams_.erase(found);
    }
    self.listener_.OnStreamClosed(stream);
    return 0;
  }

  static ssize_t Produce(nghttp2_session* /*unused*/, stream_id stream, std::uint8_t* target,
                         std::size_t length, std::uint32_t* flags, nghttp2_data_source* /*unused*/,
                         void* context) {
    http2_session& self = Self(context);
    const auto found = self.streams_.find(stream);
    if (found == self.streams_.end()) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    outgoing_stream& out = found->second;
    const std::size_t count = std::min(length, out.queue.size() - out.sent);
    std::copy_n(out.queue.data() + out.sent, count, target);
    out.sent += count;
    self.queued_ -= count;
    if (out.sent == out.queue.size()) {
      out.queue.clear();
      out.sent = 0;
      if (out.ended) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
      } else if (count == 0) {
        out.waiting = true;
        return NGHTTP2_ERR_DEFERRED;
      }
    }
    return static_cast<ssize_t>(count);
  }
};

http2_session::http2_session(event_loop& loop, int socket, http2_listener& listener)
    : loop_(loop),
      listener_(listener),
      is_server_(true),
      self_(std::make_shared<http2_session*>(this)),
      tcp_(loop, socket, *this) {
  Start();
  ScheduleFlush();
}

http2_session::http2_session(event_loop& loop, const std::string& address, http2_listener& listener)
    : loop_(loop),
      listener_(listener),
      is_server_(false),
      self_(std::make_shared<http2_session*>(this)),
      tcp_(loop, address, *this) {
  Start();
}

http2_session::~http2_session() {
  *self_ = nullptr;
  nghttp2_session_del(session_);
}

void http2_session::Start() {
  nghttp2_session_callbacks* table = nullptr;
  nghttp2_session_callbacks_new(&table);
  nghttp2_session_callbacks_set_on_begin_headers_callback(table, &callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(table, &callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(table, &callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, &callbacks::OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(table, &callbacks::OnClosed);
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_no_closed_streams(options, 1);
  if (is_server_) {
    nghttp2_session_server_new2(&session_, table, this, options);
  } else {
    nghttp2_session_client_new2(&session_, table, this, options);
  }
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(table);

  const std::array<nghttp2_settings_entry, 2> settings = {{
      {.settings_id = NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, .value = kMaxStreams},
      {.settings_id = NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, .value = kStreamWindowBytes},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

stream_id http2_session::Open(const stream_opening& opening, bool urgent) {
  const std::array<nghttp2_nv, 5> fields = {
      Field(":method", "POST"), Field(":scheme", "http"), Field(":authority", kAuthority),
      Field(kPathHeader, opening.path),
      Field(kRequestHeader, opening.request, NGHTTP2_NV_FLAG_NO_INDEX)};
  const std::size_t count = opening.request.empty() ? fields.size() - 1 : fields.size();
  nghttp2_priority_spec priority;
  nghttp2_priority_spec_init(&priority, 0, urgent ? NGHTTP2_MAX_WEIGHT : NGHTTP2_DEFAULT_WEIGHT, 0);
  const nghttp2_data_provider provider{.source = {}, .read_callback = &callbacks::Produce};
  const stream_id stream =
      nghttp2_submit_request(session_, &priority, fields.data(), count, &provider, nullptr);
  if (stream < 0) {
    Fail(nghttp2_strerror(stream));
    return stream;
  }
  streams_.try_emplace(stream, outgoing_stream{.opening = opening});
  ScheduleFlush();
  return stream;
}

void http2_session::Respond(stream_id stream) {
  const std::array<nghttp2_nv, 1> fields = {Field(kStatusHeader, kStatusOk)};
  const nghttp2_data_provider provider{.source = {}, .read_callback = &callbacks::Produce};
  nghttp2_submit_response(session_, stream, fields.data(), fields.size(), &provider);
}

void http2_session::Write(stream_id stream, std::string_view bytes) {
  const auto found = streams_.find(stream);
  if (found == streams_.end() || found->second.ended) {
    return;
  }
  outgoing_stream& out = found->second;
  if (out.sent >= kCompactThresholdBytes && out.sent >= out.queue.size() / 2) {
    out.queue.erase(0, out.sent);
    out.sent = 0;
  }
  out.queue.append(bytes);
  queued_ += bytes.size();
  if (std::exchange(out.waiting, false)) {
    nghttp2_session_resume_data(session_, stream);
  }
  ScheduleFlush();
}

void http2_session::End(stream_id stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end() || found->second.ended) {
    return;
  }
  found->second.ended = true;
  if (std::exchange(found->second.waiting, false)) {
    nghttp2_session_resume_data(session_, stream);
  }
  ScheduleFlush();
}

void http2_session::ScheduleFlush() {
  if (std::exchange(flush_scheduled_, true)) {
    return;
  }
  loop_.Post([weak = std::weak_ptr(self_)] {
    const auto self = weak.lock();
    if (self != nullptr && *self != nullptr && (*self)->flush_scheduled_) {
      (*self)->Flush();
    }
  });
}

void http2_session::Flush() {
  flush_scheduled_ = false;
  bool more = true;
  for (int round = 0; more && round < kMaxFlushRounds; ++round) {
    more = MakeFrames();
    tcp_.Flush();
    // Bytes that the kernel did not accept are sent when the socket is writable again.
    more = more && tcp_.queued_bytes() == 0;
  }
  if (more) {
    ScheduleFlush();
  }
  if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0) {
    Fail("HTTP/2 session ended");
  }
}

bool http2_session::MakeFrames() {
  while (!failed_ && tcp_.queued_bytes() < kMaxFramedBytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t length = nghttp2_session_mem_send(session_, &bytes);
    if (length < 0) {
      Fail(nghttp2_strerror(static_cast<int>(length)));
    }
    if (length <= 0) {
      return false;
    }
    tcp_.Write(std::span(bytes, static_cast<std::size_t>(length)));
  }
  return !failed_;
}

void http2_session::Fail(const std::string& reason) {
  if (!std::exchange(failed_, true)) {
    listener_.OnSessionFailed(reason);
  }
}

void http2_session::OnConnected() {
  listener_.OnSessionUp();
  ScheduleFlush();
}

void http2_session::OnBytes(std::span<const std::uint8_t> bytes) {
  if (failed_) {
    return;
  }
  const ssize_t taken = nghttp2_session_mem_recv(session_, bytes.data(), bytes.size());
  if (taken < 0) {
    Fail(nghttp2_strerror(static_cast<int>(taken)));
  }
}

void http2_session::OnReadEnd() { Flush(); }

void http2_session::OnDrained() { Flush(); }

void http2_session::OnFailed(const std::string& reason) { Fail(reason); }

}  // namespace jacinthspool
