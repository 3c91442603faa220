#include "src/entry/completion_request.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "src/entry/prompt_prefix.h"

namespace jacinthspool {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr std::uint64_t kLargestSeed = std::numeric_limits<std::int32_t>::max();

/// Fields that the entry or the agents set; the caller's values are not forwarded to the engine.
constexpr const char* kReservedFields[] = {"stream",
                                           "stream_options",
                                           "messages",
                                           "max_completion_tokens",
                                           "kv_transfer_params",
                                           "kv_transfer_timeout_ms",
                                           "request_id",
                                           "priority"};

/// Reads the fields of a request body and collects all faults.
class body_checker {
 public:
  explicit body_checker(const json& body) : body_(body) {}

  void Report(std::string place, std::string text) {
    found_.push_back({.place = std::move(place), .text = std::move(text)});
  }

  bool Flag(const char* name) {
    const auto field = body_.find(name);
    if (field == body_.end() || field->is_null()) {
      return false;
    }
    if (!field->is_boolean()) {
      Report(name, "must be true or false");
      return false;
    }
    return field->get<bool>();
  }

  std::optional<std::uint32_t> Count(const char* name, std::uint32_t limit) {
    const auto field = body_.find(name);
    if (field == body_.end() || field->is_null()) {
      return std::nullopt;
    }
    const bool fits = field->is_number_unsigned() && field->get<std::uint64_t>() >= 1 &&
                      field->get<std::uint64_t>() <= limit;
    if (!fits) {
      Report(name, "must be a whole number from 1 to " + std::to_string(limit));
      return std::nullopt;
    }
    return field->get<std::uint32_t>();
  }

  std::string Text(const char* name) {
    const auto field = body_.find(name);
    if (field == body_.end() || !field->is_string() ||
        field->get_ref<const std::string&>().empty()) {
      Report(name, "must be a string that is not empty");
      return {};
    }
    return field->get<std::string>();
  }

  [[nodiscard]] bool clean() const { return found_.empty(); }

  [[nodiscard]] api_error error() const {
    std::string message;
    for (const finding& fault : found_) {
      message += (message.empty() ? "" : "; ") + fault.place + ": " + fault.text;
    }
    return {.message = message, .code = "invalid_value", .retry_after = std::nullopt};
  }

 private:
  const json& body_;
  findings found_;
};

/// \returns The prompt, which may be a string or a list of one string.
std::string PromptOf(const json& body, body_checker& checker) {
  const auto field = body.find("prompt");
  if (field != body.end() && field->is_array() && field->size() == 1 && (*field)[0].is_string()) {
    return (*field)[0].get<std::string>();
  }
  if (field == body.end() || !field->is_string()) {
    checker.Report("prompt", "must be a string, or a list of one string");
    return {};
  }
  return field->get<std::string>();
}

/// \returns The content of a message, or nothing if it is not a string or a list of text parts.
std::optional<std::string> ContentOf(const json& message) {
  const auto field = message.find("content");
  if (field == message.end()) {
    return std::nullopt;
  }
  if (field->is_string()) {
    return field->get<std::string>();
  }
  if (!field->is_array()) {
    return std::nullopt;
  }
  std::string content;
  for (const json& part : *field) {
    const bool text = part.is_object() && part.value("type", json()) == "text" &&
                      part.contains("text") && part["text"].is_string();
    if (!text) {
      return std::nullopt;
    }
    content += part["text"].get_ref<const std::string&>();
  }
  return content;
}

/// \returns The messages of a chat as one prompt that ends where the assistant's turn starts.
std::string ChatPromptOf(const json& body, body_checker& checker) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    checker.Report("messages", "must be a list that is not empty");
    return {};
  }
  std::string prompt;
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const json& message = (*messages)[i];
    const bool has_role =
        message.is_object() && message.contains("role") && message["role"].is_string();
    const std::optional<std::string> content = has_role ? ContentOf(message) : std::nullopt;
    if (!content.has_value()) {
      checker.Report("messages[" + std::to_string(i) + "]", "must have a role and text content");
      continue;
    }
    prompt += "<|" + message["role"].get<std::string>() + "|>\n" + *content + "\n";
  }
  return prompt + "<|assistant|>\n";
}

std::string EngineRequest(json body, const std::string& prompt, std::uint32_t output_tokens,
                          request_id id) {
  for (const char* field : kReservedFields) {
    body.erase(field);
  }
  body["prompt"] = prompt;
  body["max_tokens"] = output_tokens;
  if (!body.contains("seed") || body["seed"].is_null()) {
    body["seed"] = std::hash<request_id>{}(id) % kLargestSeed;
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

const model_route_settings* FindModel(const completion_context& context, const std::string& model) {
  const auto team = context.settings.teams.find(context.team);
  if (team == context.settings.teams.end()) {
    return nullptr;
  }
  for (const auto& route : team->second->models) {
    if (route->model == model) {
      return route.get();
    }
  }
  return nullptr;
}

std::uint64_t MemoryTokens(const pool_settings& pool) {
  return std::uint64_t{pool.pieces} * pool.piece_tokens;
}

/// \returns The error if the team has no route to the model or may not use its pools.
std::optional<api_error> RouteError(const completion_context& context, const std::string& model,
                                    const model_route_settings* route) {
  if (route == nullptr) {
    return api_error{.status = kNotFound,
                     .message = "the model '" + model + "' does not exist",
                     .code = "model_not_found",
                     .retry_after = std::nullopt};
  }
  const settings_snapshot& settings = context.settings;
  for (const std::string& pool : {route->prefill_pool, route->decode_pool}) {
    if (settings.FindPool(pool) == nullptr || !settings.TeamMayUse(context.team, pool)) {
      return api_error{.status = kForbidden,
                       .message = "team '" + context.team + "' may not use pool '" + pool + "'",
                       .type = "permission_error",
                       .code = "pool_not_allowed",
                       .retry_after = std::nullopt};
    }
  }
  return std::nullopt;
}

/// \returns The error if prompt and output exceed the memory of every backend server.
std::optional<api_error> SizeError(const completion_context& context,
                                   const model_route_settings& route,
                                   const caller_request& request) {
  const std::uint64_t total = std::uint64_t{request.prompt_tokens} + request.output_tokens;
  const std::uint64_t capacity =
      std::min(MemoryTokens(*context.settings.FindPool(route.prefill_pool)),
               MemoryTokens(*context.settings.FindPool(route.decode_pool)));
  if (total <= capacity) {
    return std::nullopt;
  }
  return api_error{.message = "the prompt of about " + std::to_string(request.prompt_tokens) +
                              " tokens and " + std::to_string(request.output_tokens) +
                              " output tokens exceed the " + std::to_string(capacity) +
                              " tokens of any backend server's memory",
                   .code = "context_length_exceeded",
                   .retry_after = std::nullopt};
}

std::uint32_t TokensOf(const std::string& prompt, std::uint32_t bytes_per_token) {
  const std::size_t size = std::max<std::uint32_t>(1, bytes_per_token);
  const std::size_t tokens = std::max<std::size_t>(1, (prompt.size() + size - 1) / size);
  return static_cast<std::uint32_t>(
      std::min<std::size_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
}

caller_request CallerRequest(const completion_context& context, const model_route_settings& route,
                             const std::string& prompt, std::uint32_t output_tokens) {
  const limit_settings& limits = *context.settings.operators->limits;
  const team_settings& team = *context.settings.teams.at(context.team);
  caller_request request;
  request.id = context.id;
  request.team = context.team;
  request.workspace = context.workspace;
  request.model = route.model;
  request.prefill_pool = route.prefill_pool;
  request.pool = route.decode_pool;
  request.prompt_tokens = TokensOf(prompt, limits.bytes_per_token);
  request.output_tokens = output_tokens;
  request.prefix_hashes = PrefixHashes(context.team, context.workspace, prompt);
  request.priority = route.priority;
  request.patient = team.objective == config::team_objective::wasted_prefill;
  request.deadline_in =
      milliseconds(route.first_token_ms != 0 ? route.first_token_ms : limits.first_token_ms);
  return request;
}

api_error JsonError(std::string message) {
  return {.message = std::move(message), .code = "invalid_json", .retry_after = std::nullopt};
}

leaf::result<json> ParseObject(std::string_view text) {
  json body;
  try {
    body = json::parse(text);
  } catch (const json::parse_error& error) {
    return leaf::new_error(
        JsonError("the body is not valid JSON at byte " + std::to_string(error.byte)));
  }
  if (!body.is_object()) {
    return leaf::new_error(JsonError("the body must be a JSON object"));
  }
  return body;
}

}  // namespace

leaf::result<completion_request> ParseCompletion(std::string_view text,
                                                 const completion_context& context) {
  BOOST_LEAF_AUTO(body, ParseObject(text));
  const bool chat = context.kind == completion_kind::kChat;
  const limit_settings& limits = *context.settings.operators->limits;
  body_checker checker(body);
  completion_shape shape{.kind = context.kind, .model = checker.Text("model")};
  const std::string prompt = chat ? ChatPromptOf(body, checker) : PromptOf(body, checker);
  const std::uint32_t max_output = limits.max_output_tokens;
  std::optional<std::uint32_t> output = checker.Count("max_tokens", max_output);
  if (chat && !output.has_value()) {
    output = checker.Count("max_completion_tokens", max_output);
  }
  static_cast<void>(checker.Count("n", 1));
  static_cast<void>(checker.Count("best_of", 1));
  shape.stream = checker.Flag("stream");
  const auto options = body.find("stream_options");
  if (options != body.end() && options->is_object()) {
    shape.include_usage = body_checker(*options).Flag("include_usage");
  }
  if (!checker.clean()) {
    return leaf::new_error(checker.error());
  }
  const model_route_settings* route = FindModel(context, shape.model);
  if (const auto error = RouteError(context, shape.model, route)) {
    return leaf::new_error(*error);
  }
  const std::uint32_t output_tokens = output.value_or(max_output);
  caller_request request = CallerRequest(context, *route, prompt, output_tokens);
  if (const auto error = SizeError(context, *route, request)) {
    return leaf::new_error(*error);
  }
  request.engine_request = EngineRequest(body, prompt, output_tokens, context.id);
  return completion_request{.request = std::move(request), .shape = std::move(shape)};
}

}  // namespace jacinthspool
