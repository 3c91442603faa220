#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/entry/entry_process.h"
#include "src/entry/service_call.h"
#include "src/telemetry/log.h"

/// \file
/// \brief HTTP requests of callers and operators: authentication, limits and dispatch by path.

namespace jacinthspool {
namespace {

namespace leaf = boost::leaf;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kMethodNotAllowed = 405;
constexpr int kBodyTooLarge = 413;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr microseconds kStoppingRetry = seconds(1);

api_error SimpleError(int status, std::string message, std::string code) {
  return {.status = status,
          .message = std::move(message),
          .code = std::move(code),
          .retry_after = std::nullopt};
}

void ReplyJson(http_exchange& exchange, int status, const std::string& body) {
  exchange.Reply(status, {{"Content-Type", "application/json"}}, body);
}

/// Calls `parse`, then `accept` with its value or `reject` with its error.
template <typename Parse, typename AcceptValue, typename RejectError>
void ParseThen(Parse parse, AcceptValue accept, RejectError reject) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(parsed, parse());
        accept(std::move(parsed));
        return {};
      },
      [&](const api_error& error) { reject(error); },
      [&] { reject(SimpleError(kInternalError, "internal error", "internal_error")); });
}

}  // namespace

void entry_process::Serve(const std::shared_ptr<http_exchange>& exchange) {
  if (ServeOperator(*exchange)) {
    return;
  }
  const std::optional<std::string> team = tokens_.TeamOf(exchange->header("Authorization"));
  if (!team.has_value()) {
    Reject(*exchange, {.status = kUnauthorized,
                       .message = "the bearer token is missing or unknown",
                       .type = "authentication_error",
                       .code = "invalid_api_key",
                       .retry_after = std::nullopt});
    return;
  }
  if (stopping_) {
    Reject(*exchange, {.status = kUnavailable,
                       .message = "not run: this entry is stopping",
                       .type = "not_run",
                       .code = "kLeaving",
                       .retry_after = kStoppingRetry});
    return;
  }
  const std::size_t limit = settings_->operators->limits->max_body_bytes;
  if (exchange->body().size() > limit) {
    Reject(*exchange,
           SimpleError(kBodyTooLarge, "the body is larger than " + std::to_string(limit) + " bytes",
                       "body_too_large"));
    return;
  }
  ServeTeam(exchange, *team);
}

void entry_process::ServeTeam(const std::shared_ptr<http_exchange>& exchange,
                              const std::string& team) {
  const std::string& path = exchange->path();
  const bool text = path == "/v1/completions";
  const bool chat = path == "/v1/chat/completions";
  const bool models = path == "/v1/models";
  if (!text && !chat && !models) {
    ServeCall(exchange, team);
    return;
  }
  if (exchange->method() != (models ? "GET" : "POST")) {
    Reject(*exchange, SimpleError(kMethodNotAllowed, "wrong method for " + path, "wrong_method"));
    return;
  }
  if (models) {
    ServeModels(*exchange, team);
    return;
  }
  ServeCompletion(exchange, team, chat ? completion_kind::kChat : completion_kind::kText);
}

void entry_process::ServeCompletion(const std::shared_ptr<http_exchange>& exchange,
                                    const std::string& team, completion_kind kind) {
  const request_id id{.incarnation = incarnation_, .counter = ++last_request_counter_};
  const completion_context context{.settings = *settings_,
                                   .id = id,
                                   .team = team,
                                   .workspace = exchange->header("X-Workspace"),
                                   .kind = kind};
  ParseThen([&] { return ParseCompletion(exchange->body(), context); },
            [&](completion_request parsed) {
              const bool stream = parsed.shape.stream;
              completion_format format(std::move(parsed.shape), id,
                                       std::chrono::system_clock::now());
              answer_form form = stream ? answer_form(streamed_answer{.format = std::move(format)})
                                        : answer_form(buffered_answer{.format = std::move(format)});
              Accept(exchange, std::move(parsed.request), std::move(form));
            },
            [&](const api_error& error) { Reject(*exchange, error); });
}

void entry_process::ServeCall(const std::shared_ptr<http_exchange>& exchange,
                              const std::string& team) {
  const call_context context{
      .settings = *settings_,
      .id = {.incarnation = incarnation_, .counter = ++last_request_counter_},
      .team = team,
      .workspace = exchange->header("X-Workspace")};
  ParseThen([&] { return ParseCall(*exchange, context); },
            [&](caller_request request) { Accept(exchange, std::move(request), service_answer{}); },
            [&](const api_error& error) { Reject(*exchange, error); });
}

void entry_process::ServeModels(http_exchange& exchange, const std::string& team) {
  nlohmann::json models = nlohmann::json::array();
  for (const auto& route : settings_->teams.at(team)->models) {
    if (settings_->TeamMayUse(team, route->prefill_pool) &&
        settings_->TeamMayUse(team, route->decode_pool)) {
      models.push_back(
          {{"id", route->model}, {"object", "model"}, {"created", 0}, {"owned_by", team}});
    }
  }
  ReplyJson(exchange, kOk, nlohmann::json{{"object", "list"}, {"data", std::move(models)}}.dump());
}

void entry_process::Accept(const std::shared_ptr<http_exchange>& exchange, caller_request request,
                           answer_form form) {
  const request_id id = request.id;
  callers_.emplace(id, caller_answer(exchange, std::move(form), id));
  exchange->OnCallerDisconnected([this, id] { DropCaller(id); });
  metrics_.Accept(timer_service::now(), request);
  EnqueueEvent(std::move(request));
}

void entry_process::Reject(http_exchange& exchange, const api_error& error) {
  metrics_.CountRejection(error.status);
  Log(log_level::kInfo, "rejected",
      {{"path", exchange.path()}, {"status", error.status}, {"code", error.code}});
  ReplyError(exchange, error);
}

bool entry_process::ServeOperator(http_exchange& exchange) {
  if (exchange.method() != "GET") {
    return false;
  }
  const std::string& path = exchange.path();
  if (path == "/healthz") {
    ReplyJson(exchange, stopping_ ? kUnavailable : kOk,
              stopping_ ? R"({"status":"stopping"})" : R"({"status":"ok"})");
    return true;
  }
  if (path == "/metrics") {
    metrics_.registry().Set("jacinthspool_requests_in_progress", {},
                            static_cast<double>(core_.in_progress()));
    exchange.Reply(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                   metrics_.registry().Render());
    return true;
  }
  if (path == "/status") {
    ReplyJson(exchange, kOk, Status());
    return true;
  }
  return false;
}

std::string entry_process::Status() const {
  nlohmann::json agents = nlohmann::json::array();
  for (const agent_links::link_state& link : links_->States()) {
    agents.push_back(
        {{"backend", link.backend},
         {"address", link.address},
         {"up", link.incarnation != 0},
         {"incarnation", link.incarnation},
         {"silent_ms", std::chrono::duration_cast<milliseconds>(link.silent).count()}});
  }
  nlohmann::json subtrees = nlohmann::json::array();
  for (const auto& subtree : store_.Versions().subtrees) {
    subtrees.push_back({{"path", subtree->path}, {"revision", subtree->revision}});
  }
  return nlohmann::json{
      {"name", process_->name},
      {"role", "entry"},
      {"data_centre", process_->data_centre},
      {"incarnation", incarnation_},
      {"stopping", stopping_},
      {"in_progress", core_.in_progress()},
      {"agents", std::move(agents)},
      {"settings", {{"digest", store_.digest()}, {"subtrees", std::move(subtrees)}}}}
      .dump();
}

}  // namespace jacinthspool
