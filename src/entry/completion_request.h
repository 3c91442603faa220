#ifndef JACINTHSPOOL_ENTRY_COMPLETION_REQUEST_H_
#define JACINTHSPOOL_ENTRY_COMPLETION_REQUEST_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>

#include "jacinthspool/impl/entry_core.h"
#include "src/entry/api_error.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief The endpoint of a completion: /v1/completions or /v1/chat/completions.
enum class completion_kind { kText, kChat };

/// \brief The form in which the caller requested its completion.
struct completion_shape {
  completion_kind kind = completion_kind::kText;
  std::string model;
  bool stream = false;
  bool include_usage = false;  ///< Adds an event with the token usage to the end of a stream.
};

struct completion_request {
  caller_request request;
  completion_shape shape;
};

/// \brief Context in which the body of a completion is checked.
struct completion_context {
  const settings_snapshot& settings;
  request_id id;
  std::string team;
  std::string workspace;
  completion_kind kind = completion_kind::kText;
};

/// \brief Parses and validates the body of a completion.
///
/// If the caller sets no `seed`, the engine's request gets one: after a failure
/// a sampled answer can only be resumed if the second run samples the same
/// tokens.
/// \returns The request, or an `api_error`. The error lists all invalid fields of the body; errors
/// of the JSON syntax, the route and the size are reported alone.
[[nodiscard]] boost::leaf::result<completion_request> ParseCompletion(
    std::string_view body, const completion_context& context);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_COMPLETION_REQUEST_H_
