#ifndef JACINTHSPOOL_TESTS_PROCESS_CALL_H_
#define JACINTHSPOOL_TESTS_PROCESS_CALL_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "src/transport/http_client.h"
#include "tests/process/test_environment.h"

namespace jacinthspool::testing {

/// \brief One HTTP call of the test on its own connection, which the destructor closes.
class call {
 public:
  call(test_environment& environment, http_request request);

  [[nodiscard]] bool done() const { return done_; }
  /// \returns The HTTP status; 0 before it is known, or when no complete answer was received.
  [[nodiscard]] int status() const { return done_ ? response_.status : status_; }
  /// \returns The bytes of the body received so far.
  [[nodiscard]] const std::string& body() const { return body_; }
  [[nodiscard]] const http_response& response() const { return response_; }
  [[nodiscard]] std::string Header(std::string_view name) const;

  /// \returns The body as JSON; a discarded value when it is not valid JSON.
  [[nodiscard]] nlohmann::json Json() const;
  /// \returns `error.type` of the body or of its last event; empty if there is none.
  [[nodiscard]] std::string ErrorType() const;

  // For an answer in server-sent events:

  /// \returns The data of all complete events so far, without `[DONE]`.
  [[nodiscard]] std::vector<nlohmann::json> Events() const;
  /// \returns true when the last event is `[DONE]`.
  [[nodiscard]] bool SawDone() const;

  // For a completion, streamed or not:

  [[nodiscard]] std::string Text() const;
  [[nodiscard]] nlohmann::json Usage() const;
  [[nodiscard]] std::string FinishReason() const;

  /// \brief Closes the connection before the answer is complete, as a caller that disconnects.
  void Disconnect();

  /// \brief Waits until the call has ended. \returns false when `timeout` expired first.
  bool Wait(microseconds timeout = test_environment::kDefaultTimeout);

 private:
  [[nodiscard]] std::vector<std::string> DataLines() const;

  test_environment& environment_;
  http_client client_;
  bool done_ = false;
  int status_ = 0;
  std::string body_;
  http_response response_;
  std::unique_ptr<http_call> running_;
};

using call_ptr = std::unique_ptr<call>;

/// \brief Makes a call and waits until it has ended.
call_ptr Fetch(test_environment& environment, http_request request);

/// \brief Sends a JSON body by POST, or a GET if the body is null, and waits for the answer.
/// \returns The body of the answer as JSON; null if the status is not 200.
nlohmann::json FetchJson(test_environment& environment, const std::string& address,
                         const std::string& target, const nlohmann::json& body = nullptr);

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_PROCESS_CALL_H_
