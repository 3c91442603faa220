#include "src/agent/completion_stream.h"

#include "src/agent/json_fields.h"

namespace jacinthspool {
namespace {

constexpr std::string_view kEndOfStream = "[DONE]";

/// \returns The text of one choice of a text completion or a chat completion.
std::string TextOfChoice(const nlohmann::json& choice) {
  const std::string text = TextOf(choice, "text");
  return text.empty() ? TextOf(MemberOf(choice, "delta"), "content") : text;
}

}  // namespace

std::vector<std::string> completion_stream::Read(std::string_view bytes) {
  std::vector<std::string> pieces;
  for (const std::string& data : events_.Read(bytes)) {
    ParseEvent(data, pieces);
  }
  if (events_.overflowed()) {
    error_ = "an event is too long";
  }
  return pieces;
}

void completion_stream::ParseEvent(const std::string& data, std::vector<std::string>& pieces) {
  if (data == kEndOfStream) {
    done_ = true;
    return;
  }
  const nlohmann::json event = ParseJson(data);
  if (!event.is_object()) {
    error_ = "an event is no JSON object";
    return;
  }
  if (event.contains("error")) {
    error_ = "the engine reports an error";
    return;
  }
  const nlohmann::json& choices = MemberOf(event, "choices");
  if (choices.is_array() && !choices.empty()) {
    std::string text = TextOfChoice(choices.front());
    if (!text.empty()) {
      pieces.push_back(std::move(text));
    }
    const std::string reason = TextOf(choices.front(), "finish_reason");
    finish_reason_ = reason.empty() ? finish_reason_ : reason;
  }
  const nlohmann::json& usage = MemberOf(event, "usage");
  if (usage.is_object()) {
    prompt_tokens_ = SmallCountOf(usage, "prompt_tokens");
    completion_tokens_ = SmallCountOf(usage, "completion_tokens");
  }
}

}  // namespace jacinthspool
