#include "src/entry/completion_format.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace jacinthspool {
namespace {

using nlohmann::json;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json Usage(const deliver_end& end) {
  return {{"prompt_tokens", end.prompt_tokens},
          {"completion_tokens", end.completion_tokens},
          {"total_tokens", std::uint64_t{end.prompt_tokens} + end.completion_tokens}};
}

std::string ObjectName(const completion_shape& shape, bool streamed) {
  if (shape.kind == completion_kind::kText) {
    return "text_completion";
  }
  return streamed ? "chat.completion.chunk" : "chat.completion";
}

}  // namespace

completion_format::completion_format(completion_shape shape, request_id id,
                                     std::chrono::system_clock::time_point created)
    : shape_(std::move(shape)),
      id_((shape_.kind == completion_kind::kChat ? "chatcmpl-" : "cmpl-") + ToString(id)),
      created_(created) {
  const auto unix_time = std::chrono::duration_cast<seconds>(created_.time_since_epoch()).count();
  event_prefix_ = "data: {\"id\":" + Dump(id_) + ",\"object\":\"" + ObjectName(shape_, true) +
                  "\",\"created\":" + std::to_string(unix_time) +
                  ",\"model\":" + Dump(shape_.model) + ",\"choices\":[";
}

std::string completion_format::Event(const std::string& choice) const {
  return event_prefix_ + choice + "]}\n\n";
}

std::string completion_format::Begin() const {
  if (shape_.kind == completion_kind::kText) {
    return {};
  }
  return Event(
      R"({"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null})");
}

std::string completion_format::Piece(std::string_view text) const {
  const std::string quoted = Dump(json(text));
  if (shape_.kind == completion_kind::kText) {
    return Event("{\"index\":0,\"text\":" + quoted + ",\"logprobs\":null,\"finish_reason\":null}");
  }
  return Event("{\"index\":0,\"delta\":{\"content\":" + quoted +
               "},\"logprobs\":null,\"finish_reason\":null}");
}

std::string completion_format::End(const deliver_end& end) const {
  const std::string reason = Dump(json(end.finish_reason.empty() ? "stop" : end.finish_reason));
  const std::string rest = ",\"logprobs\":null,\"finish_reason\":" + reason + "}";
  const bool text = shape_.kind == completion_kind::kText;
  std::string events =
      Event((text ? R"({"index":0,"text":"")" : R"({"index":0,"delta":{})") + rest);
  if (shape_.include_usage) {
    events += event_prefix_ + "],\"usage\":" + Dump(Usage(end)) + "}\n\n";
  }
  return events + "data: [DONE]\n\n";
}

std::string completion_format::Body(const std::string& text, const deliver_end& end) const {
  json choice = {{"index", 0},
                 {"logprobs", nullptr},
                 {"finish_reason", end.finish_reason.empty() ? "stop" : end.finish_reason}};
  if (shape_.kind == completion_kind::kText) {
    choice["text"] = text;
  } else {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  }
  const auto unix_time = std::chrono::duration_cast<seconds>(created_.time_since_epoch()).count();
  return Dump({{"id", id_},
               {"object", ObjectName(shape_, false)},
               {"created", unix_time},
               {"model", shape_.model},
               {"choices", json::array({std::move(choice)})},
               {"usage", Usage(end)}});
}

std::string ErrorEvent(const std::string& error_body) { return "data: " + error_body + "\n\n"; }

}  // namespace jacinthspool
