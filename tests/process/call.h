#ifndef JACINTHSPOOL_TESTS_PROCESS_CALL_H_
#define JACINTHSPOOL_TESTS_PROCESS_CALL_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "src/transport/http_client.h"
#include "tests/process/world.h"

namespace jacinthspool::testing {

/// \brief One HTTP call of the test, on a connection of its own; destroying it closes that.
class call {
 public:
  call(world& around, http_request request);

  [[nodiscard]] bool done() const { return done_; }
  /// \returns The status once it is known; 0 before, or when no whole answer came.
  [[nodiscard]] int status() const { return done_ ? response_.status : status_; }
  /// \returns What has come of the body.
  [[nodiscard]] const std::string& body() const { return body_; }
  [[nodiscard]] const http_response& response() const { return response_; }
  [[nodiscard]] std::string Header(std::string_view name) const;

  /// \returns The body as JSON; discarded when it is none.
  [[nodiscard]] nlohmann::json Json() const;
  /// \returns `error.type` of the body or of its last event, or an empty text.
  [[nodiscard]] std::string ErrorType() const;

  // Of an answer in server-sent events:

  /// \returns The data of all whole events so far, `[DONE]` left out.
  [[nodiscard]] std::vector<nlohmann::json> Events() const;
  /// \returns true when the stream has had its proper end.
  [[nodiscard]] bool SawDone() const;

  // Of a completion, streamed or not:

  [[nodiscard]] std::string Text() const;
  [[nodiscard]] nlohmann::json Usage() const;
  [[nodiscard]] std::string FinishReason() const;

  /// \brief Closes the connection, as a caller that goes.
  void Leave();

  /// \brief Waits for the end. \returns false when it did not come within the bound.
  bool Wait(microseconds bound = world::kLongBound);

 private:
  [[nodiscard]] std::vector<std::string> DataLines() const;

  world& around_;
  http_client client_;
  bool done_ = false;
  int status_ = 0;
  std::string body_;
  http_response response_;
  std::unique_ptr<http_call> running_;
};

using call_ptr = std::unique_ptr<call>;

/// \brief Makes a call and waits for its end.
call_ptr Fetch(world& around, http_request request);

/// \brief A POST of a JSON body, or a GET when the body is null; waits for the end.
/// \returns The body of the answer, null when the status is not 200.
nlohmann::json Ask(world& around, const std::string& address, const std::string& target,
                   const nlohmann::json& body = nullptr);

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_PROCESS_CALL_H_
