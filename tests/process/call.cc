#include "tests/process/call.h"

#include <strings.h>

#include <utility>

namespace jacinthspool::testing {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";
constexpr seconds kCallTimeout(60);

/// \returns The text of all choices: of a completion or a chat, streamed or not.
std::string TextOf(const nlohmann::json& answer) {
  std::string text;
  for (const nlohmann::json& choice : answer.value("choices", nlohmann::json::array())) {
    for (const char* member : {"delta", "message"}) {
      if (choice.contains(member) && choice[member].contains("content") &&
          choice[member]["content"].is_string()) {
        text += choice[member]["content"].get<std::string>();
      }
    }
    text += choice.value("text", "");
  }
  return text;
}

}  // namespace

call::call(test_environment& environment, http_request request)
    : environment_(environment), client_(environment.loop()) {
  request.timeout = kCallTimeout;
  running_ = client_.Fetch(std::move(request), {.on_chunk =
                                                    [this](int status, std::string_view piece) {
                                                      status_ = status;
                                                      body_ += piece;
                                                    },
                                                .on_done =
                                                    [this](http_response response) {
                                                      response_ = std::move(response);
                                                      body_ += response_.body;
                                                      done_ = true;
                                                    }});
}

std::string call::Header(std::string_view name) const {
  const std::string wanted(name);
  for (const auto& [key, value] : response_.headers) {
    if (strcasecmp(key.c_str(), wanted.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

nlohmann::json call::Json() const { return nlohmann::json::parse(body_, nullptr, false); }

std::vector<std::string> call::DataLines() const {
  std::vector<std::string> lines;
  std::size_t at = 0;
  while (true) {
    const std::size_t end = body_.find('\n', at);
    if (end == std::string::npos) {
      return lines;
    }
    const std::string line = body_.substr(at, end - at);
    if (line.starts_with(kDataPrefix)) {
      lines.push_back(line.substr(kDataPrefix.size()));
    }
    at = end + 1;
  }
}

std::vector<nlohmann::json> call::Events() const {
  std::vector<nlohmann::json> events;
  for (const std::string& line : DataLines()) {
    if (line != kDone) {
      events.push_back(nlohmann::json::parse(line, nullptr, false));
    }
  }
  return events;
}

bool call::SawDone() const {
  const std::vector<std::string> lines = DataLines();
  return !lines.empty() && lines.back() == kDone;
}

std::string call::ErrorType() const {
  nlohmann::json last = Json();
  if (!last.is_object() && !Events().empty()) {
    last = Events().back();
  }
  if (!last.is_object() || !last.contains("error")) {
    return {};
  }
  return last["error"].value("type", "");
}

std::string call::Text() const {
  std::string text;
  const nlohmann::json whole = Json();
  if (whole.is_object()) {
    return TextOf(whole);
  }
  for (const nlohmann::json& event : Events()) {
    text += event.is_object() ? TextOf(event) : "";
  }
  return text;
}

nlohmann::json call::Usage() const {
  const nlohmann::json whole = Json();
  if (whole.is_object()) {
    return whole.value("usage", nlohmann::json());
  }
  nlohmann::json usage;
  for (const nlohmann::json& event : Events()) {
    if (event.is_object() && event.contains("usage") && event["usage"].is_object()) {
      usage = event["usage"];
    }
  }
  return usage;
}

std::string call::FinishReason() const {
  std::vector<nlohmann::json> answers = Events();
  if (Json().is_object()) {
    answers = {Json()};
  }
  for (const nlohmann::json& answer : answers) {
    for (const nlohmann::json& choice : answer.value("choices", nlohmann::json::array())) {
      if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
        return choice["finish_reason"].get<std::string>();
      }
    }
  }
  return {};
}

void call::Disconnect() {
  if (running_ != nullptr && !done_) {
    running_->Cancel();
  }
  done_ = true;
}

bool call::Wait(microseconds timeout) {
  return environment_.WaitUntil([this] { return done_; }, timeout);
}

call_ptr Fetch(test_environment& environment, http_request request) {
  auto made = std::make_unique<call>(environment, std::move(request));
  made->Wait();
  return made;
}

nlohmann::json FetchJson(test_environment& environment, const std::string& address,
                         const std::string& target, const nlohmann::json& body) {
  http_request request{.address = address, .target = target};
  if (!body.is_null()) {
    request.method = "POST";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.is_string() ? body.get<std::string>() : body.dump();
  }
  const call_ptr made = Fetch(environment, std::move(request));
  return made->status() == 200 ? made->Json() : nlohmann::json();
}

}  // namespace jacinthspool::testing
