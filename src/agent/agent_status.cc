#include <nlohmann/json.hpp>

#include "src/agent/agent_process.h"

/// \file
/// \brief HTTP endpoints of an agent for operators: /drain, /metrics, /status and /healthz.

namespace jacinthspool {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

const http_headers kJson = {{"Content-Type", "application/json"}};
const http_headers kText = {{"Content-Type", "text/plain; version=0.0.4"}};

std::string ErrorBody(const std::string& text) {
  return nlohmann::json({{"error", {{"message", text}}}}).dump();
}

}  // namespace

void agent_process::Serve(const std::shared_ptr<http_exchange>& exchange) {
  const std::string& path = exchange->path();
  const bool get = exchange->method() == "GET";
  if (path == "/drain") {
    if (exchange->method() != "POST") {
      exchange->Reply(kMethodNotAllowed, kJson, ErrorBody("use POST"));
      return;
    }
    SetDraining(drain_reason::kOperator, true);
    exchange->Reply(kAccepted, kJson, Status());
  } else if (path == "/metrics" && get) {
    exchange->Reply(kOk, kText, metrics_.Render(core_.load(boot_clock::now()), links_.size()));
  } else if (path == "/status" && get) {
    exchange->Reply(kOk, kJson, Status());
  } else if (path == "/healthz" && get) {
    exchange->Reply(kOk, kJson, R"({"status":"ok"})");
  } else {
    exchange->Reply(kNotFound, kJson, ErrorBody("unknown path"));
  }
}

std::string agent_process::Status() const {
  const agent_load load = core_.load(boot_clock::now());
  const std::shared_ptr<const settings_snapshot> settings = store_.current();
  const std::string& backend = process_->backend->name;
  const pool_settings* const pool =
      settings == nullptr ? nullptr : settings->FindPoolOfBackend(backend);
  nlohmann::json revisions = nlohmann::json::object();
  for (const auto& subtree : store_.Versions().subtrees) {
    revisions[subtree->path] = subtree->revision;
  }
  const nlohmann::json status = {{"role", "agent"},
                                 {"name", process_->name},
                                 {"backend", backend},
                                 {"pool", pool == nullptr ? "" : pool->name},
                                 {"data_centre", process_->data_centre},
                                 {"incarnation", incarnation_},
                                 {"leaving", drain_.leaving()},
                                 {"stopping", drain_.stopping()},
                                 {"superseded", superseded_},
                                 {"backend_up", load.backend_up},
                                 {"pieces_total", load.pieces_total},
                                 {"pieces_held", load.pieces_held},
                                 {"pieces_granted", load.pieces_granted},
                                 {"running", load.running},
                                 {"queued", load.queued},
                                 {"queue_wait_us", load.queue_wait.count()},
                                 {"unacknowledged", core_.unacknowledged()},
                                 {"entries", links_.size()},
                                 {"settings", revisions}};
  return status.dump();
}

}  // namespace jacinthspool
