#ifndef JACINTHSPOOL_ENTRY_COMPLETION_REQUEST_H_
#define JACINTHSPOOL_ENTRY_COMPLETION_REQUEST_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>

#include "jacinthspool/impl/entry_core.h"
#include "src/entry/api_error.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Which of the two completion paths a request came by.
enum class completion_kind { kText, kChat };

/// \brief How the caller wants its completion.
struct completion_shape {
  completion_kind kind = completion_kind::kText;
  std::string model;
  bool stream = false;
  bool include_usage = false;  ///< With a stream: a last chunk with the usage.
};

struct completion_request {
  caller_request asked;
  completion_shape shape;
};

/// \brief What a completion is checked against.
struct completion_context {
  const settings_snapshot& settings;
  request_id id;
  std::string team;
  std::string workspace;
  completion_kind kind = completion_kind::kText;
};

/// \brief Reads and checks the body of a completion.
/// \returns The request, or an `api_error` that names every fault of the body.
///
/// The engine's request gets a `seed` when the caller gave none: a sampled
/// answer can only be taken up again after a failure when a second run draws
/// the same tokens.
[[nodiscard]] boost::leaf::result<completion_request> ParseCompletion(
    std::string_view body, const completion_context& context);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_COMPLETION_REQUEST_H_
