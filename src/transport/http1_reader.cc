#include "src/transport/http1_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <limits>
#include <utility>

#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using beast_text = boost::beast::string_view;

constexpr int kHttp11 = 11;

std::string ToText(beast_text text) { return {text.data(), text.size()}; }

char Lower(char letter) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

/// Collects the results of Beast's parser.
template <bool is_request>
class message_parser : public http::basic_parser<is_request> {
 public:
  http1_head head;
  std::string body;
  int version = kHttp11;

 private:
  void on_request_impl(http::verb /*verb*/, beast_text method, beast_text target, int the_version,
                       error_code& /*error*/) override {
    head.method = ToText(method);
    head.target = ToText(target);
    version = the_version;
  }
  void on_response_impl(int code, beast_text /*reason*/, int the_version,
                        error_code& /*error*/) override {
    head.status = code;
    version = the_version;
  }
  void on_field_impl(http::field /*field*/, beast_text name, beast_text value,
                     error_code& /*error*/) override {
    head.headers.emplace_back(ToText(name), ToText(value));
  }
  void on_header_impl(error_code& /*error*/) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         error_code& /*error*/) override {}
  std::size_t on_body_impl(beast_text text, error_code& /*error*/) override {
    body.append(text.data(), text.size());
    return text.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, beast_text /*extensions*/,
                            error_code& /*error*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*rest*/, beast_text text,
                                 error_code& /*error*/) override {
    body.append(text.data(), text.size());
    return text.size();
  }
  void on_finish_impl(error_code& /*error*/) override {}
};

http1_fault FaultOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return http1_fault::kHeadTooLarge;
  }
  if (error == http::error::body_limit) {
    return http1_fault::kBodyTooLarge;
  }
  return http1_fault::kMalformed;
}

/// Obsolete line folding: a header line that starts with white space continues the previous one.
bool HasFoldedLine(std::string_view head) {
  for (std::size_t end = head.find("\r\n"); end != std::string_view::npos;
       end = head.find("\r\n", end + 2)) {
    if (end + 2 < head.size() && (head[end + 2] == ' ' || head[end + 2] == '\t')) {
      return true;
    }
  }
  return false;
}

std::size_t CountOf(const http1_head& head, std::string_view name) {
  return static_cast<std::size_t>(
      std::count_if(head.headers.begin(), head.headers.end(),
                    [&](const auto& header) { return EqualsIgnoringCase(header.first, name); }));
}

/// Rejects messages that Beast accepts but that HTTP implementations frame differently.
std::optional<http1_fault> CheckFraming(const http1_head& head, int version, bool is_request) {
  if (version != kHttp11 && version != kHttp11 - 1) {
    return http1_fault::kMalformed;
  }
  const auto coding = head.Find("Transfer-Encoding");
  if (coding && (version != kHttp11 || !EqualsIgnoringCase(*coding, "chunked") ||
                 CountOf(head, "Transfer-Encoding") > 1)) {
    return http1_fault::kUnsupportedCoding;
  }
  const std::size_t lengths = CountOf(head, "Content-Length");
  if (lengths > 1 || (lengths == 1 && coding)) {
    return http1_fault::kMalformed;
  }
  if (is_request &&
      (CountOf(head, "Host") != 1 || head.target.empty() || head.target.front() != '/')) {
    return http1_fault::kMalformed;
  }
  return std::nullopt;
}

/// \returns true for a status that a client which never asks to switch protocols can be sent. An
/// interim answer has no body.
bool HasValidStatus(const http1_head& head) {
  const bool interim = head.status < http_status::kOk;
  const bool has_body = head.chunked || head.content_length.value_or(0) > 0;
  return head.status >= http_status::kContinue && head.status <= http_status::kLast &&
         head.status != http_status::kSwitchingProtocols && !(interim && has_body);
}

}  // namespace

std::optional<std::string_view> http1_head::Find(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoringCase(key, name)) {
      return value;
    }
  }
  return std::nullopt;
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char one, char other) { return Lower(one) == Lower(other); });
}

bool IsHopByHop(std::string_view name) {
  constexpr std::string_view kNames[] = {"Connection", "Keep-Alive", "Proxy-Connection",
                                         "TE",         "Trailer",    "Transfer-Encoding",
                                         "Upgrade",    "Expect",     "Content-Length"};
  return std::any_of(std::begin(kNames), std::end(kNames),
                     [&](std::string_view known) { return EqualsIgnoringCase(name, known); });
}

std::string_view ReasonPhrase(int status) {
  const beast_text phrase =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

struct http1_reader::state {
  explicit state(const options& the_settings) : settings(the_settings) { Restart(); }

  void Restart() {
    head_reported = false;
    if (settings.kind == message_kind::kRequest) {
      parser.emplace<message_parser<true>>();
    } else {
      parser.emplace<message_parser<false>>();
    }
    std::visit(
        [&](auto& each) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(each)>, std::monostate>) {
            each.header_limit(static_cast<std::uint32_t>(settings.max_head_bytes));
            each.body_limit(settings.max_body_bytes);
            if (no_body) {
              each.skip(true);
            }
          }
        },
        parser);
  }

  template <typename parser_type>
  http1_event ReadWith(parser_type& reading) {
    if constexpr (std::is_same_v<parser_type, std::monostate>) {
      return http1_need_more{};
    } else {
      while (!reading.is_done()) {
        const bool head_done = reading.is_header_done();
        if (!head_done && HasFoldedLine(HeadPart())) {
          return Fail(http1_fault::kMalformed);
        }
        error_code error;
        const std::string_view rest = Rest();
        if (rest.empty()) {
          break;
        }
        const std::size_t used =
            reading.put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        position += used;
        if (error && error != http::error::need_more) {
          return Fail(FaultOf(error));
        }
        if (!head_reported && reading.is_header_done()) {
          return ReportHead(reading);
        }
        if (!reading.body.empty()) {
          return http1_body{std::exchange(reading.body, {})};
        }
        if (error == http::error::need_more || used == 0) {
          break;
        }
      }
      return Finish(reading);
    }
  }

  template <typename parser_type>
  http1_event ReportHead(parser_type& reading) {
    constexpr bool kIsRequest = std::is_same_v<parser_type, message_parser<true>>;
    if (const auto found = CheckFraming(reading.head, reading.version, kIsRequest)) {
      return Fail(*found);
    }
    head_reported = true;
    reading.head.keep_alive = reading.keep_alive();
    reading.head.chunked = reading.chunked();
    if (const auto length = reading.content_length()) {
      reading.head.content_length = *length;
    }
    if (!kIsRequest && !HasValidStatus(reading.head)) {
      return Fail(http1_fault::kMalformed);
    }
    return std::move(reading.head);
  }

  template <typename parser_type>
  http1_event Finish(parser_type& reading) {
    if (!reading.body.empty()) {
      return http1_body{std::exchange(reading.body, {})};
    }
    if (!reading.is_done()) {
      Compact();
      // Beast has no limit for the size of chunk extensions and trailers.
      if (buffer.size() > settings.max_head_bytes) {
        return Fail(head_reported ? http1_fault::kMalformed : http1_fault::kHeadTooLarge);
      }
      return http1_need_more{};
    }
    no_body = false;
    Restart();
    return http1_end{};
  }

  http1_event Fail(http1_fault what) {
    fault = what;
    return what;
  }

  [[nodiscard]] std::string_view Rest() const { return std::string_view{buffer}.substr(position); }

  [[nodiscard]] std::string_view HeadPart() const {
    const std::string_view rest = Rest();
    const std::size_t end = rest.find("\r\n\r\n");
    return end == std::string_view::npos ? rest : rest.substr(0, end);
  }

  void Compact() {
    buffer.erase(0, position);
    position = 0;
  }

  options settings;
  std::variant<std::monostate, message_parser<true>, message_parser<false>> parser;
  std::string buffer;
  std::size_t position = 0;
  std::optional<http1_fault> fault;
  bool head_reported = false;
  bool no_body = false;
};

http1_reader::http1_reader(const options& settings) : state_(std::make_unique<state>(settings)) {}
http1_reader::~http1_reader() = default;
http1_reader::http1_reader(http1_reader&&) noexcept = default;

void http1_reader::Feed(std::string_view bytes) {
  state_->Compact();
  state_->buffer.append(bytes);
}

http1_event http1_reader::Read() {
  if (state_->fault) {
    return *state_->fault;
  }
  return std::visit([&](auto& reading) { return state_->ReadWith(reading); }, state_->parser);
}

bool http1_reader::EndsAtClose() const {
  const auto* reply = std::get_if<message_parser<false>>(&state_->parser);
  return reply != nullptr && !state_->fault && state_->head_reported && reply->need_eof();
}

void http1_reader::ExpectNoBody() {
  state_->no_body = true;
  state_->Restart();
}

void http1_reader::LimitBody(std::size_t max_body_bytes) {
  if (std::exchange(state_->settings.max_body_bytes, max_body_bytes) != max_body_bytes) {
    state_->Restart();
  }
}

std::size_t http1_reader::buffered() const { return state_->Rest().size(); }

bool http1_reader::inside_message() const {
  return state_->head_reported || !state_->Rest().empty();
}

}  // namespace jacinthspool
