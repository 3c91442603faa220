#ifndef JACINTHSPOOL_TRANSPORT_HTTP1_READER_H_
#define JACINTHSPOOL_TRANSPORT_HTTP1_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "src/transport/http_server.h"

namespace jacinthspool {

/// \brief Start line and header fields of an HTTP/1.1 message.
struct http1_head {
  std::string method = {};  ///< Requests only.
  std::string target = {};  ///< Requests only: path and query.
  int status = 0;           ///< Replies only.
  http_headers headers = {};
  bool keep_alive = true;  ///< According to the HTTP version and `Connection`.
  bool chunked = false;
  std::optional<std::uint64_t> content_length = {};  ///< Value of `Content-Length`, if present.

  /// \returns The value of the first header of that name, ignoring case, or nothing.
  [[nodiscard]] std::optional<std::string_view> Find(std::string_view name) const;
};

/// \returns true when both are equal, ignoring the case of ASCII letters.
[[nodiscard]] bool EqualsIgnoringCase(std::string_view left, std::string_view right);

/// \returns true for a header that applies to a single connection (RFC 9110, 7.6.1).
[[nodiscard]] bool IsHopByHop(std::string_view name);

/// \returns The standard reason phrase of a status code.
[[nodiscard]] std::string_view ReasonPhrase(int status);

enum class http1_fault { kMalformed, kHeadTooLarge, kBodyTooLarge, kUnsupportedCoding };

/// \brief Events of a reader.
struct http1_need_more {};
struct http1_body {
  std::string bytes = {};
};
struct http1_end {};
using http1_event = std::variant<http1_need_more, http1_head, http1_body, http1_end, http1_fault>;

/// \brief Strict parser for the sequence of HTTP/1.1 messages on a connection.
///
/// In addition to the checks of Boost.Beast it rejects messages that two parsers
/// could frame differently: folded headers, any transfer coding but `chunked`,
/// repeated `Host` headers, a length together with a coding. Chunk extensions and
/// trailers have the same size limit as heads.
///
/// \code
/// reader.Feed(bytes);
/// for (http1_event found = reader.Read(); ...; found = reader.Read()) std::visit(handler, found);
/// \endcode
class http1_reader {
 public:
  enum class message_kind { kRequest, kReply };
  struct options {
    message_kind kind = message_kind::kRequest;
    std::size_t max_head_bytes = 16U << 10U;
    std::size_t max_body_bytes = 4U << 20U;
  };

  explicit http1_reader(const options& settings);
  ~http1_reader();
  http1_reader(http1_reader&&) noexcept;

  /// \brief Appends received bytes.
  void Feed(std::string_view bytes);

  /// \returns The next event; after a fault, the same fault on every call.
  [[nodiscard]] http1_event Read();

  /// \returns true when an orderly close of the connection now completes a reply that has
  /// neither a length nor chunked coding.
  [[nodiscard]] bool EndsAtClose() const;

  /// \brief Treats the next reply as having no body, regardless of its headers (HEAD).
  void ExpectNoBody();

  /// \brief Limits the body of the next message and of all later ones, in bytes.
  void LimitBody(std::size_t max_body_bytes);

  /// \returns Number of fed bytes that have not been parsed yet.
  [[nodiscard]] std::size_t buffered() const;

  /// \returns true when a message has been received in part.
  [[nodiscard]] bool inside_message() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP1_READER_H_
