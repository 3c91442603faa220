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
  bool keep_alive = true;  ///< What version and `Connection` say.
  bool chunked = false;
  std::optional<std::uint64_t> content_length = {};  ///< Of a body that states it.

  /// \returns The first header of that name in any case, or nothing.
  [[nodiscard]] std::optional<std::string_view> Find(std::string_view name) const;
};

/// \returns true when both are the same but for the case of ASCII letters.
[[nodiscard]] bool EqualsIgnoringCase(std::string_view left, std::string_view right);

/// \returns true for a header that concerns one connection only (RFC 9110, 7.6.1).
[[nodiscard]] bool IsHopByHop(std::string_view name);

/// \returns The standard reason phrase of a status code.
[[nodiscard]] std::string_view ReasonPhrase(int status);

enum class http1_fault { kMalformed, kHeadTooLarge, kBodyTooLarge, kUnsupportedCoding };

/// \brief What a reader found next.
struct http1_need_more {};
struct http1_body {
  std::string bytes = {};
};
struct http1_end {};
using http1_event = std::variant<http1_need_more, http1_head, http1_body, http1_end, http1_fault>;

/// \brief Reads HTTP/1.1 messages strictly, one after the other, from the bytes of a connection.
///
/// On top of Boost.Beast's grammar it refuses whatever two readers could frame
/// differently: folded headers, any transfer coding but `chunked`, several
/// `Host` headers, a length beside a coding. Chunk extensions and trailers are
/// bounded like heads.
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

  void Feed(std::string_view bytes);

  /// \returns The next event; after a fault always that fault.
  [[nodiscard]] http1_event Read();

  /// \brief Tells that the connection was closed in order.
  /// \returns true when this ends a reply whose length the connection's end gives.
  [[nodiscard]] bool EndsAtClose() const;

  /// \brief The next reply has no body, whatever its headers say (HEAD).
  void ExpectNoBody();

  /// \brief Bounds the body of the next message, and of those after it.
  void LimitBody(std::size_t max_body_bytes);

  /// \returns Bytes that were fed and belong to no event yet.
  [[nodiscard]] std::size_t buffered() const;

  /// \returns true when a message has begun and not ended.
  [[nodiscard]] bool inside_message() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_HTTP1_READER_H_
